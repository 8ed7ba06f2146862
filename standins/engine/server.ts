import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import polka from 'polka';
import type {Polka} from 'polka';
import {request as sendRequest} from 'undici';
import {NotRunError, OrderRefusedError, StaleFenceError} from '../../src/errors/index.js';
import {enginePath, upstreamHeader} from '../../src/upstreams/index.js';
import type {GenerateEvent, GenerateRequest, Order} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {readJson, sendJson, startListening} from '../http.js';
import type {ListeningServer} from '../http.js';
import {EngineCore} from './core.js';
import {EngineFaults} from './faults.js';
import type {StreamFaults} from './faults.js';
import type {KvRecord} from './kv.js';
import type {EngineOptions} from './options.js';
import type {EventSink} from './sequence.js';

/** Path at which other engines fetch a KV cache that this engine holds. */
const heldKvPath = '/v1/kv/held';

/** Body of `POST /control`: faults that a test switches on; fields that are absent change nothing. */
export type EngineControl = {
	/** Faults of the next answers, one set for each. */
	readonly streams?: readonly StreamFaults[];
	/** Never answers again on connections that are open now; later connections work. */
	readonly silence?: boolean;
	/** Neither reads nor sends for this many milliseconds, keeps all connections, and goes on afterwards where it was. */
	readonly silentMs?: number;
	/** Factor on all durations of the engine's work. */
	readonly slowFactor?: number;
	/** The engine crashes this many milliseconds after the next `configure` order arrives. */
	readonly crashInChangeMs?: number;
	/** Crashes now and restarts; the journal stays. */
	readonly crash?: boolean;
};

/** An engine's stand-in as an HTTP server. */
export class EngineServer {
	readonly core: EngineCore;
	readonly faults = new EngineFaults();
	readonly #sockets = new Set<Socket>();
	readonly #silencedSockets = new WeakSet<Socket>();
	#acceptedCount = 0;

	constructor(timers: TimerService, options: EngineOptions, loadWeights?: (bytes: number) => Promise<void>) {
		this.core = new EngineCore(timers, options, loadWeights);
	}

	/** Starts to listen at `address`, `host:port`. */
	async start(address: string): Promise<ListeningServer> {
		const app = polka({
			onError(error, _request, response) {
				sendRefusal(response, error);
			},
		});
		app.use(async (request, _response, next) => {
			await this.core.silence.wait();
			// A request on a silenced connection is accepted and never answered.
			if (!this.#silencedSockets.has(request.socket)) {
				void next();
			}
		});
		app.post(enginePath.generate, async (request, response) => {
			const sendId = request.headers[upstreamHeader.requestId];
			if (sendId !== undefined) {
				response.setHeader(upstreamHeader.requestId, sendId);
			}

			await this.#serveGenerate(request, response);
		});
		this.#addOrderRoutes(app);
		this.#addKvRoutes(app);
		this.#addReadRoutes(app);
		const listening = await startListening(app, address);
		const server = app.server as Server;
		server.on('connection', socket => {
			this.#acceptedCount++;
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		// Balancers and connection pools reuse connections; the default of five seconds would close them while a request arrives.
		server.keepAliveTimeout = 60_000;
		return {
			address: listening.address,
			close: async () => {
				this.core.close();
				await listening.close();
			},
		};
	}

	/** Counts the connections accepted since the start. */
	countAccepted(): number {
		return this.#acceptedCount;
	}

	/** Switches faults on; fields that are absent change nothing. */
	applyControl(control: EngineControl): void {
		this.faults.streams.push(...control.streams ?? []);
		this.core.slowFactor = control.slowFactor ?? this.core.slowFactor;
		this.core.crashInChangeMs = control.crashInChangeMs ?? this.core.crashInChangeMs;
		this.core.silence.start(control.silentMs ?? 0);
		if (control.silence) {
			for (const socket of this.#sockets) {
				this.#silencedSockets.add(socket);
			}
		}

		if (control.crash) {
			this.core.reset();
		}
	}

	async #serveGenerate(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const generateRequest = await readJson(request) as GenerateRequest;
		const sink = this.faults.wrapSink(this.core.silence.wrapSink(this.#createSink(response)));
		try {
			const detach = this.core.startRequest(generateRequest, sink);
			openStream(response);
			response.on('close', async () => {
				await this.core.silence.wait();
				detach();
			});
		} catch (error) {
			sendRefusal(response, error);
		}
	}

	#createSink(response: ServerResponse): EventSink {
		return {
			onEvent: (event: GenerateEvent) => {
				if (response.destroyed || (response.socket && this.#silencedSockets.has(response.socket))) {
					return;
				}

				openStream(response);
				response.write(`id: ${event.offset}\ndata: ${JSON.stringify(event)}\n\n`);
				if (event.kind === 'end') {
					response.end();
				}
			},
			onCut() {
				response.destroy();
			},
		};
	}

	#addOrderRoutes(app: Polka): void {
		app.post(enginePath.orders, async (request, response) => {
			const order = await readJson(request) as Order;
			sendJson(response, 200, this.core.applyOrder(order));
		});
		app.post(enginePath.cancel, async (request, response) => {
			const {id} = await readJson(request) as {id: string};
			this.core.cancelRequest(id);
			sendJson(response, 200, {});
		});
		app.post('/control', async (request, response) => {
			this.applyControl(await readJson(request) as EngineControl);
			sendJson(response, 200, {});
		});
	}

	#addKvRoutes(app: Polka): void {
		app.post(enginePath.exportKv, async (request, response) => {
			sendJson(response, 200, await this.core.exportKv(await readJson(request) as GenerateRequest));
		});
		app.post(enginePath.importKv, async (request, response) => {
			const {source, handle} = await readJson(request) as {source: string; handle: string};
			const found = await sendRequest(`http://${source}${heldKvPath}/${handle}`);
			if (found.statusCode !== 200) {
				throw new NotRunError(`${source} does not hold ${handle}`);
			}

			sendJson(response, 200, await this.core.importKv(await found.body.json() as KvRecord));
		});
		app.get(`${heldKvPath}/:handle`, (request, response) => {
			const record = this.core.kv.findRecord(request.params.handle ?? '');
			sendJson(response, record ? 200 : 404, record ?? {});
		});
	}

	#addReadRoutes(app: Polka): void {
		app.get(enginePath.state, (_request, response) => {
			sendJson(response, 200, this.core.getState());
		});
		app.get(enginePath.load, (_request, response) => {
			sendJson(response, 200, this.core.getLoad());
		});
		app.get(enginePath.cacheEvents, (request, response) => {
			sendJson(response, 200, this.core.listCacheEvents(Number(request.query.after ?? 0)));
		});
		app.get('/journal', (_request, response) => {
			sendJson(response, 200, {journal: this.core.journal.list(), dropped: this.core.journal.countDropped()});
		});
	}
}

function openStream(response: ServerResponse): void {
	if (!response.headersSent) {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
	}
}

function sendRefusal(response: ServerResponse, error: unknown): void {
	const message = error instanceof Error ? error.message : String(error);
	if (response.headersSent) {
		response.destroy();
	} else if (error instanceof StaleFenceError) {
		sendJson(response, 409, {message});
	} else if (error instanceof OrderRefusedError) {
		sendJson(response, 422, {message}, {[upstreamHeader.notRun]: '1'});
	} else if (error instanceof NotRunError) {
		sendJson(response, 503, {message}, {[upstreamHeader.notRun]: '1'});
	} else {
		sendJson(response, 500, {message});
	}
}
