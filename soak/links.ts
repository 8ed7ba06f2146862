import {Socket} from 'node:net';
import process from 'node:process';
import {linksVariable} from './linkvariable.js';

/**
Loaded into an entry's process before its program: connects to the process's own link in place of each address in the table that the environment names, so
that every entry may know others by the same address while faults harm the links of one.
*/
const links = new Map(Object.entries(JSON.parse(process.env[linksVariable] ?? '{}') as Record<string, string>));
const {connect} = Socket.prototype;

type Endpoint = {readonly host?: string; readonly port?: number | string};

/** Returns where to connect to in place of an endpoint; the endpoint itself when it has no link. */
function resolveEndpoint<Options extends Endpoint>(options: Options): Options {
	const [host, port] = links.get(`${options.host}:${options.port}`)?.split(':') ?? [];
	return host === undefined ? options : {...options, host, port: Number(port)};
}

/** Connects as `Socket.connect` does, whose arguments Node passes as a marked list when it has read them already. */
function connectByLink(this: Socket, ...parameters: unknown[]): Socket {
	const [first, ...rest] = parameters;
	if (Array.isArray(first)) {
		first[0] = resolveEndpoint(first[0] as Endpoint);
	}

	const target: unknown = typeof first === 'object' && first !== null && !Array.isArray(first) ? resolveEndpoint(first as Endpoint) : first;
	return Reflect.apply(connect, this, [target, ...rest]) as Socket;
}

Socket.prototype.connect = connectByLink;
