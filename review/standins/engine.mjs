/* eslint-disable camelcase -- Field names are those of the users' platform. */
// Stand-in of an engine: one lifetime of a process at an address. What it does with a request is up to `serve`, which a case may replace.
import {createServer} from 'node:http';
import {listen, readBody, sendJson} from './http.mjs';

export class Engine {
	/** What arrived, in order: id, path, kind (`run`, `prefill`, `421`), time and headers. */
	arrivals = [];
	address = '';
	isLeaving = false;
	isDark = false;
	#server;
	#sockets = new Set();

	/** `serve(arrival, response, engine)` answers a request. */
	constructor({id, service, stage, slots = 6, born = Date.now(), serve}) {
		Object.assign(this, {
			id, service, stage, slots, born, serve, seq: 1,
		});
	}

	async start(port = 0) {
		this.#server = createServer(async (request, response) => {
			await this.#onRequest(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			if (this.isDark) {
				silence(socket);
			}

			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.address = await listen(this.#server, '127.0.0.1', port);
	}

	/** Ends at once, as a process that crashes. */
	stop() {
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Sends and reads nothing from now on, as a process whose machine has gone dark. */
	goDark() {
		this.isDark = true;
		for (const socket of this.#sockets) {
			silence(socket);
		}
	}

	/** What the engine writes under `servers/ID`. */
	get entry() {
		return {
			service: this.service,
			address: this.address,
			zone: 'z1',
			version: 1,
			slots: this.slots,
			state: this.isLeaving ? 'draining' : 'ready',
			cold_left_ms: 0,
			seq: this.seq++,
			born: this.born,
			...(this.stage && {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]}),
		};
	}

	get headers() {
		return this.isLeaving ? {'Server-Leaving': '1'} : {};
	}

	async #onRequest(request, response) {
		if (this.isDark) {
			return;
		}

		const body = await readBody(request);
		if (request.url.startsWith('/kv-list')) {
			sendJson(response, 200, {epoch: 1, next: 0, held: []});
			return;
		}

		if (request.url.startsWith('/kv-handle/')) {
			sendJson(response, 200, {});
			return;
		}

		const {headers} = request;
		const kind = headers['crocusworks-stage'] === 'prefill' ? 'prefill' : 'run';
		const arrival = {
			engine: this.id, born: this.born, id: headers['crocusworks-request-id'], path: request.url, at: performance.now(), headers, body, kind,
		};
		this.arrivals.push(arrival);
		response.setHeader('Crocusworks-Request-Id', arrival.id ?? '');
		response.setHeader('Crocusworks-Server-Load', `1,0,${this.slots}`);
		for (const [name, value] of Object.entries(this.headers)) {
			response.setHeader(name, value);
		}

		if (headers['crocusworks-expect-instance'] !== undefined && headers['crocusworks-expect-instance'] !== this.id) {
			arrival.kind = '421';
			sendJson(response, 421, {}, {'Crocusworks-Instance-Id': this.id});
			return;
		}

		response.on('error', () => undefined);
		await this.serve(arrival, response, this);
	}

	/** Header fields that prove that the engine ran a request. */
	get stamp() {
		return {'Crocusworks-Server-Stamp': `stamp.${this.id}`};
	}
}

function silence(socket) {
	socket.pause();
	socket.cork();
}

/** Answers a stream of `count` events, each `intervalMs` after the one before. */
export async function sendStream(arrival, response, engine, {count, intervalMs}) {
	response.writeHead(200, {'Content-Type': 'text/event-stream', ...engine.stamp});
	response.flushHeaders();
	for (let id = Number(arrival.headers['last-event-id'] ?? 0) + 1; id <= count && !response.destroyed; id++) {
		await new Promise(resolve => {
			setTimeout(resolve, intervalMs);
		});
		response.write(`id: ${id}\ndata: piece ${id} of ${arrival.id}\n\n`);
	}

	response.end();
}
