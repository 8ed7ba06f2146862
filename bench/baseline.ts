#!/usr/bin/env node
import {createServer} from 'node:http';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {Pool} from 'undici';

/**
A minimal forwarding proxy that sends every request unchanged to one upstream; the baseline for `overhead.ts`.
Arguments: the `host:port` to listen on and the `host:port` of the upstream.
*/
const [listenAddress = '127.0.0.1:7300', upstreamAddress = '127.0.0.1:7101'] = process.argv.slice(2);
const connections = 256;
const pool = new Pool(`http://${upstreamAddress}`, {connections, headersTimeout: 0, bodyTimeout: 0});
const [host, port] = listenAddress.split(':');
createServer(async (request, response) => {
	try {
		const answer = await pool.request({
			method: request.method === 'POST' ? 'POST' : 'GET',
			path: request.url ?? '/',
			headers: {'content-type': request.headers['content-type'] ?? 'application/json'},
			body: request.method === 'POST' ? request : undefined,
		});
		response.writeHead(answer.statusCode, answer.headers);
		await pipeline(answer.body, response);
	} catch {
		response.destroy();
	}
}).listen(Number(port), host);
