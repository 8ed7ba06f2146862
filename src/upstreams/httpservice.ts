import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {
	BrokenAnswerError, ForeignAnswerError, NotRunError, UnknownOutcomeError,
} from '../errors/index.js';
import {SystemTimers} from '../timers/index.js';
import type {TimerService} from '../timers/index.js';
import {LiveConnection} from './liveconnection.js';
import {isConnectError} from './connecterror.js';
import {createConnector} from './connector.js';
import {ServiceClient, ServiceConnection} from './service.js';
import type {ServiceAnswer, ServiceCall} from './service.js';
import {serviceLoadPath, upstreamHeader} from './wire.js';

const maxConnections = 64;
const connectTimeoutMs = 1000;
const maxIdleConnections = 16;
const loadTimeoutMs = 1000;

/** How calls are sent through another entry that relays them to the service. */
export type ServiceRelay = {
	/** Path of the relaying entry that is probed to check a connection. */
	readonly probePath: string;
	/** Turns a call into the call to the relaying entry. */
	readonly wrapCall: (call: ServiceCall) => ServiceCall;
	/** Header by which the relaying entry reports that it is not known whether the call ran. */
	readonly unknownOutcomeHeader: string;
};

/** An instance of an application service over HTTP. */
export class HttpService extends ServiceClient {
	readonly #address: string;
	readonly #relay: ServiceRelay | undefined;
	readonly #pool: Pool;
	readonly #timers: TimerService;
	readonly #idleConnections: LiveConnection[] = [];
	#isDraining = false;

	/** `address` is `host:port` of the instance or, with `relay`, of the entry that relays to it. */
	constructor(address: string, relay?: ServiceRelay, timers: TimerService = new SystemTimers()) {
		super();
		this.#timers = timers;
		this.#address = address;
		this.#relay = relay;
		// The deadline of the call limits the time for an answer, so no timeout is set here.
		this.#pool = new Pool(`http://${address}`, {
			connections: maxConnections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: createConnector(connectTimeoutMs),
		});
	}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		return sendCall(this.#pool, call, {signal, relay: this.#relay});
	}

	async open(signal: AbortSignal): Promise<ServiceConnection> {
		const probePath = this.#relay?.probePath ?? serviceLoadPath;
		for (let idle = this.#idleConnections.pop(); idle; idle = this.#idleConnections.pop()) {
			if (await isAnswering(idle, probePath, signal)) {
				return this.#createConnection(idle);
			}

			idle.close();
		}

		const opened = new LiveConnection(this.#address, this.#timers);
		try {
			await opened.probe(probePath, signal);
		} catch (error) {
			opened.close();
			throw error;
		}

		return this.#createConnection(opened);
	}

	async readLoad(): Promise<number> {
		try {
			const {body} = await this.#pool.request({method: 'GET', path: serviceLoadPath, signal: AbortSignal.timeout(loadTimeoutMs)});
			return (await body.json() as {running: number}).running;
		} catch (error) {
			throw new UnknownOutcomeError('the load of the service could not be read', {cause: error});
		}
	}

	/** Closes all connections that are not in use by a {@link ServiceConnection}. */
	async close(): Promise<void> {
		for (const idle of this.#idleConnections) {
			idle.close();
		}

		await this.#pool.destroy();
	}

	/** Closes the connections as they become idle: calls in progress go on to their end. */
	async drain(): Promise<void> {
		this.#isDraining = true;
		for (const idle of this.#idleConnections.splice(0)) {
			idle.close();
		}

		await this.#pool.close();
	}

	#createConnection(live: LiveConnection): ServiceConnection {
		return new HttpServiceConnection(live, this.#relay, () => {
			if (live.isOpen && !this.#isDraining && this.#idleConnections.length < maxIdleConnections) {
				this.#idleConnections.push(live);
			} else {
				live.close();
			}
		});
	}
}

class HttpServiceConnection extends ServiceConnection {
	#isReusable = true;
	readonly #live: LiveConnection;
	readonly #relay: ServiceRelay | undefined;
	readonly #onRelease: () => void;

	constructor(live: LiveConnection, relay: ServiceRelay | undefined, onRelease: () => void) {
		super();
		this.#live = live;
		this.#relay = relay;
		this.#onRelease = onRelease;
	}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		if (!this.#live.isOpen) {
			throw new NotRunError('the connection was lost before the call');
		}

		this.#isReusable = false;
		const answer = await sendCall(this.#live.client, call, {signal, relay: this.#relay, isConnected: true});
		answer.body.once('end', () => {
			this.#isReusable = true;
		});
		return answer;
	}

	close(): void {
		if (this.#isReusable) {
			this.#onRelease();
		} else {
			this.#live.close();
		}
	}
}

type SendOptions = {
	readonly signal: AbortSignal;
	readonly relay: ServiceRelay | undefined;
	/** Whether the call is sent on a socket that is open already, so that no error proves any more that nothing was sent. */
	readonly isConnected?: boolean;
};

async function sendCall(dispatcher: Dispatcher, call: ServiceCall, {signal, relay, isConnected = false}: SendOptions): Promise<ServiceAnswer> {
	const {method, path, headers, body, id} = relay ? relay.wrapCall(call) : call;
	let response: Dispatcher.ResponseData;
	try {
		response = await dispatcher.request({
			method,
			path,
			headers: {...headers, [upstreamHeader.requestId]: id},
			body: body.length > 0 ? Buffer.from(body) : undefined,
			signal,
			idempotent: call.isRepeatable,
		});
	} catch (error) {
		throw !isConnected && isConnectError(error)
			? new NotRunError('no connection to the service', {cause: error, props: {isUnreached: true}})
			: new UnknownOutcomeError('the service gave no answer', {cause: error});
	}

	const answer = {status: response.statusCode, headers: normalizeHeaders(response.headers), body: response.body};
	await checkAnswer(answer, call, relay);
	return answer;
}

async function checkAnswer(answer: ServiceAnswer, call: ServiceCall, relay: ServiceRelay | undefined): Promise<void> {
	const echoedId = answer.headers[upstreamHeader.requestId];
	if (echoedId !== call.id) {
		// Destroying a body that nobody reads emits an error, which ends the process if it has no listener.
		answer.body.on('error', () => undefined);
		answer.body.destroy();
		throw new ForeignAnswerError(`expected the answer to ${call.id}, got that to ${echoedId ?? 'nothing'}`);
	}

	if (answer.headers[upstreamHeader.notRun] === '1') {
		await skipBody(answer);
		throw new NotRunError('the service did not take the call');
	}

	if (relay && answer.headers[relay.unknownOutcomeHeader] !== undefined) {
		await skipBody(answer);
		throw new UnknownOutcomeError('the relaying entry does not know whether the call ran');
	}
}

async function skipBody(answer: ServiceAnswer): Promise<void> {
	try {
		for await (const _chunk of answer.body) {
			// The body is discarded: the status and the headers tell the reason.
		}
	} catch (error) {
		throw new BrokenAnswerError('the refusal broke off', {cause: error});
	}
}

function normalizeHeaders(headers: Dispatcher.ResponseData['headers']): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers).flatMap(([name, value]) => value === undefined ? [] : [[name, String(value)]]));
}

async function isAnswering(live: LiveConnection, path: string, signal: AbortSignal): Promise<boolean> {
	try {
		await live.probe(path, signal);
		return live.isOpen;
	} catch {
		return false;
	}
}
