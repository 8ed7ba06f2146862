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

/** Row of the journal: a call that the service ran or refused. */
export type CallRow = {
	readonly event: 'run' | 'refused';
	/** Time, monotonic, in milliseconds. */
	readonly at: number;
	/** Id of the request, as the entry sent it. */
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the body, in hexadecimal digits. */
	readonly body: string;
	/** Idempotency key of the caller; empty when the request carried none. */
	readonly key: string;
};

/** Body of `POST /control`: faults that a test switches on and off. A count falls by one with each call that the fault applies to. */
export type ServiceControl = {
	/** Never answers again on connections that are open now; later connections work. */
	readonly silence?: boolean;
	/** Time added to every call, in milliseconds. */
	readonly slowMs?: number;
	/** Number of the next calls that run but whose connection is closed without an answer. */
	readonly loseAnswers?: number;
	/** Number of the next calls that run but whose connection is closed after half of the answer's body. */
	readonly cutAnswers?: number;
	/** Number of the next calls that are refused without being run. */
	readonly refuse?: number;
	/** Number of the next answers that carry the id of another request. */
	readonly foreign?: number;
};

/** Faults that apply to a number of calls. */
type CountedFault = 'loseAnswers' | 'cutAnswers' | 'refuse' | 'foreign';

/** Plain service over HTTP: `GET /schedules/:id` and `GET /ledgers/:id` may be repeated, `POST /refunds` and `POST /holds` may not. */
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

	/** Starts to listen at `address`, `host:port`. */
	async start(address: string): Promise<ListeningServer> {
		const app = polka();
		app.use((request, _response, next) => {
			// A request on a silenced connection is accepted and never answered.
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

	/** Switches faults on and off; fields that are absent change nothing. */
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
