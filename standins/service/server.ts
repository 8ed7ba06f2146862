import {createHash} from 'node:crypto';
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import polka from 'polka';
import type {Polka, Request} from 'polka';
import {serviceLoadPath, upstreamHeader} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {
	readBody, readJson, sendJson, startListening,
} from '../http.js';
import type {ListeningServer} from '../http.js';
import {Journal} from '../journal.js';

/** A run of a call. */
export type CallRow = {
	readonly event: 'run' | 'refused';
	readonly at: number;
	/** Id of the request, as the system gave it. */
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Hash of the body. */
	readonly body: string;
	/** Idempotency key of the caller, when it reached the service. */
	readonly key: string;
};

/** Body of `POST /control`: faults that a test switches on and off. Counts are spent by the calls that come next. */
export type ServiceControl = {
	/** Every connection that is open now goes silent for good; new ones work. */
	readonly silence?: boolean;
	/** Added to every call, in milliseconds. */
	readonly slowMs?: number;
	/** How many of the next calls run and lose their answer. */
	readonly loseAnswers?: number;
	/** How many of the next calls run and get half of their answer's body. */
	readonly cutAnswers?: number;
	/** How many of the next calls are refused as not run. */
	readonly refuse?: number;
	/** How many of the next answers carry another request's id. */
	readonly foreign?: number;
};

/** Faults that are counted down. */
type CountedFault = 'loseAnswers' | 'cutAnswers' | 'refuse' | 'foreign';

/** A plain service over HTTP: `GET /schedules/:id` may be repeated, `POST /refunds` and `POST /holds` may not. */
export class ServiceServer {
	readonly journal = new Journal<CallRow>();
	readonly #timers: TimerService;
	readonly #sockets = new Set<Socket>();
	readonly #silencedSockets = new WeakSet<Socket>();
	readonly #faultCounts: Record<CountedFault, number> = {
		loseAnswers: 0, cutAnswers: 0, refuse: 0, foreign: 0,
	};

	#slowMs = 0;
	#running = 0;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Listens at `address`, `host:port`. */
	async start(address: string): Promise<ListeningServer> {
		const app = polka();
		app.use((request, _response, next) => {
			// A silent connection takes the request in and never answers it.
			if (!this.#silencedSockets.has(request.socket)) {
				void next();
			}
		});
		app.get('/schedules/:id', async (request, response) => {
			await this.#serveCall(request, response);
		});
		app.get('/ledgers/:id', async (request, response) => {
			await this.#serveCall(request, response);
		});
		app.post('/refunds', async (request, response) => {
			await this.#serveCall(request, response);
		});
		app.post('/holds', async (request, response) => {
			await this.#serveCall(request, response);
		});
		this.#addControlRoutes(app);
		const listening = await startListening(app, address);
		const server = app.server as Server;
		server.keepAliveTimeout = 60_000;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		return listening;
	}

	/** Switches faults on and off. */
	applyControl(control: ServiceControl): void {
		this.#slowMs = control.slowMs ?? this.#slowMs;
		this.#faultCounts.loseAnswers = control.loseAnswers ?? this.#faultCounts.loseAnswers;
		this.#faultCounts.cutAnswers = control.cutAnswers ?? this.#faultCounts.cutAnswers;
		this.#faultCounts.refuse = control.refuse ?? this.#faultCounts.refuse;
		this.#faultCounts.foreign = control.foreign ?? this.#faultCounts.foreign;
		if (control.silence) {
			for (const socket of this.#sockets) {
				this.#silencedSockets.add(socket);
			}
		}
	}

	#addControlRoutes(app: Polka): void {
		app.get(serviceLoadPath, (_request, response) => {
			sendJson(response, 200, {running: this.#running});
		});
		app.post('/control', async (request, response) => {
			this.applyControl(await readJson(request) as ServiceControl);
			sendJson(response, 200, {});
		});
		app.get('/journal', (_request, response) => {
			sendJson(response, 200, {journal: this.journal.list(), dropped: this.journal.countDropped()});
		});
	}

	async #serveCall(request: Request, response: ServerResponse): Promise<void> {
		const id = String(request.headers[upstreamHeader.requestId] ?? '');
		const body = await readBody(request);
		const hash = createHash('sha256').update(body).digest('hex');
		if (this.#tryApplyFault('refuse')) {
			this.#record('refused', request, {id, hash});
			sendJson(response, 503, {message: 'the service does not take it'}, {[upstreamHeader.notRun]: '1', [upstreamHeader.requestId]: id});
			return;
		}

		this.#running++;
		this.#record('run', request, {id, hash});
		if (this.#slowMs > 0) {
			await this.#timers.sleep(this.#slowMs);
		}

		this.#running--;
		this.#sendAnswer(request, response, {id, hash});
	}

	#sendAnswer(request: Request, response: ServerResponse, {id, hash}: {readonly id: string; readonly hash: string}): void {
		if (this.#tryApplyFault('loseAnswers')) {
			response.destroy();
			return;
		}

		const text = JSON.stringify({path: request.path, body: hash, ran: id});
		const echoedId = this.#tryApplyFault('foreign') ? `${id}-other` : id;
		response.writeHead(200, {'content-type': 'application/json', 'content-length': text.length, [upstreamHeader.requestId]: echoedId});
		if (this.#tryApplyFault('cutAnswers')) {
			response.write(text.slice(0, text.length / 2), () => {
				response.destroy();
			});
			return;
		}

		response.end(text);
	}

	#tryApplyFault(name: CountedFault): boolean {
		const isArmed = this.#faultCounts[name] > 0;
		this.#faultCounts[name] -= isArmed ? 1 : 0;
		return isArmed;
	}

	#record(event: CallRow['event'], request: Request, {id, hash}: {readonly id: string; readonly hash: string}): void {
		this.journal.add({
			event,
			at: this.#timers.getNow(),
			id,
			method: request.method,
			path: request.path,
			body: hash,
			key: String(request.headers['idempotency-key'] ?? ''),
		});
	}
}
