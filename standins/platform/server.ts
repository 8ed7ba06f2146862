import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import polka from 'polka';
import type {Polka, Request} from 'polka';
import type {TimerService} from '../../src/timers/index.js';
import {readJson, sendJson, startListening} from '../http.js';
import type {ListeningServer} from '../http.js';
import {CallLimits} from './limits.js';
import type {CallKind} from './limits.js';
import {PlatformState} from './state.js';
import type {StoredValue} from './state.js';
import {WeightTransfers} from './weights.js';

const maxValueBytes = 1_000_000;
const maxWatchMs = 60_000;

/** Rate limits of the platform's stand-in. */
export type PlatformOptions = {
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
	/** Rate at which the weight store sends weights to all engines together. */
	readonly weightBytesPerMs: number;
};

/** Rate limits of the users' platform. */
export const defaultPlatformOptions: PlatformOptions = {readsPerSecond: 2000, writesPerSecond: 400, weightBytesPerMs: 8_000_000};

/** Body of `POST /control`: faults that a test switches on and off. */
export type PlatformControl = {
	/** Outage: `refuse` answers 503 to every call, `silent` never answers; neither changes stored data. `no` ends the outage. */
	readonly down?: 'refuse' | 'silent' | 'no';
	/** Time added to every call, in milliseconds. */
	readonly slowMs?: number;
	/** Number of the next writes that take effect but whose connection is closed without an answer. */
	readonly loseAnswers?: number;
	/** Time until a change to the list of VMs is visible to readers, in milliseconds. */
	readonly vmLagMs?: number;
};

type Handler = (request: Request, response: ServerResponse) => Promise<void> | void;

/** The platform's stand-in as an HTTP server. */
export class PlatformServer {
	readonly state: PlatformState;
	readonly limits: CallLimits;
	readonly #timers: TimerService;
	readonly #weightTransfers: WeightTransfers;
	readonly #openWatches = new Set<ServerResponse>();
	#down: Required<PlatformControl>['down'] = 'no';
	#slowMs = 0;
	#loseAnswers = 0;

	constructor(timers: TimerService, options: PlatformOptions = defaultPlatformOptions) {
		this.#timers = timers;
		this.state = new PlatformState(timers);
		this.limits = new CallLimits(timers, options.readsPerSecond, options.writesPerSecond);
		this.#weightTransfers = new WeightTransfers(timers, options.weightBytesPerMs);
	}

	/** Starts to listen at `address`, `host:port`. */
	async start(address: string): Promise<ListeningServer> {
		const app = polka();
		this.#addValueRoutes(app);
		this.#addLeaseRoutes(app);
		app.get('/vms', this.#wrapCall('read', (request, response) => {
			const body = {vms: this.state.getVms()};
			const etag = `"${createHash('sha256').update(JSON.stringify(body)).digest('base64url')}"`;
			if (request.headers['if-none-match'] === etag) {
				response.writeHead(304).end();
				return;
			}

			response.setHeader('etag', etag);
			sendJson(response, 200, body);
		}));
		this.#addControlRoutes(app);
		const listening = await startListening(app, address);
		return listening;
	}

	/** Switches faults on and off; fields that are absent change nothing. An outage closes the connections of waiting watches. */
	applyControl(control: PlatformControl): void {
		this.#down = control.down ?? this.#down;
		this.#slowMs = control.slowMs ?? this.#slowMs;
		this.#loseAnswers = control.loseAnswers ?? this.#loseAnswers;
		this.state.vmLagMs = control.vmLagMs ?? this.state.vmLagMs;
		if (this.#down !== 'no') {
			for (const response of this.#openWatches) {
				response.destroy();
			}
		}
	}

	#addValueRoutes(app: Polka): void {
		app.get('/kv/:key', this.#wrapCall('read', (request, response) => {
			const storedValue = this.state.findValue(getKey(request));
			sendJson(response, storedValue ? 200 : 404, storedValue ?? {});
		}));
		app.put('/kv/:key', this.#wrapCall('write', async (request, response) => {
			const {value, expectedRevision} = await readJson(request) as {value: string; expectedRevision: number};
			if (value.length > maxValueBytes) {
				sendJson(response, 413, {message: `a value may have ${maxValueBytes} bytes`});
				return;
			}

			const {isWritten, revision} = this.state.write(getKey(request), value, expectedRevision);
			this.#sendWriteAnswer(response, isWritten, {revision});
		}));
		app.get('/watch/:key', this.#wrapCall('watch', (request, response) => {
			this.#serveWatch(request, response);
		}));
	}

	#addLeaseRoutes(app: Polka): void {
		app.post('/leases/:name', this.#wrapCall('write', async (request, response) => {
			const {holder, ttlMs} = await readJson(request) as {holder: string; ttlMs: number};
			const name = getKey(request);
			const found = this.state.acquire(name, holder, ttlMs);
			this.#sendWriteAnswer(response, found === holder, {name, holder: found, ttlMs});
		}));
		app.delete('/leases/:name', this.#wrapCall('write', async (request, response) => {
			const {holder} = await readJson(request) as {holder: string};
			this.state.release(getKey(request), holder);
			this.#sendWriteAnswer(response, true, {});
		}));
	}

	/** Adds the routes that tests and engines use; their calls are neither limited nor counted. */
	#addControlRoutes(app: Polka): void {
		app.put('/vms', async (request, response) => {
			const {vms} = await readJson(request) as {vms: unknown[]};
			this.state.setVms(vms);
			sendJson(response, 200, {});
		});
		app.post('/control', async (request, response) => {
			this.applyControl(await readJson(request) as PlatformControl);
			sendJson(response, 200, {});
		});
		app.post('/weights', async (request, response) => {
			const {bytes} = await readJson(request) as {bytes: number};
			sendJson(response, 200, {waitMs: this.#weightTransfers.schedule(bytes)});
		});
		app.get('/counts', (_request, response) => {
			sendJson(response, 200, this.limits.counts);
		});
		app.get('/journal', (_request, response) => {
			sendJson(response, 200, {journal: this.state.journal.list(), dropped: this.state.journal.countDropped()});
		});
	}

	#wrapCall(kind: CallKind, handler: Handler): Handler {
		return async (request, response) => {
			if (!this.limits.tryCall(kind)) {
				sendJson(response, 429, {message: 'too many calls'});
				return;
			}

			if (this.#slowMs > 0) {
				await this.#timers.sleep(this.#slowMs);
			}

			if (this.#down === 'refuse') {
				sendJson(response, 503, {message: 'the store is down'});
			} else if (this.#down === 'no') {
				await handler(request, response);
			}
		};
	}

	#serveWatch(request: Request, response: ServerResponse): void {
		const key = getKey(request);
		const after = Number(request.query.after);
		const waitMs = Math.min(Number(request.query.wait), maxWatchMs);
		const found = this.state.findValue(key);
		if (found && found.revision > after) {
			sendJson(response, 200, found);
			return;
		}

		const stop = this.state.subscribe(key, (storedValue: StoredValue) => {
			stop();
			sendJson(response, 200, storedValue);
		});
		const timer = this.#timers.startTimer(waitMs, () => {
			response.writeHead(204).end();
		});
		this.#openWatches.add(response);
		response.on('close', () => {
			stop();
			timer.cancel();
			this.#openWatches.delete(response);
		});
	}

	#sendWriteAnswer(response: ServerResponse, isWritten: boolean, body: unknown): void {
		if (isWritten && this.#loseAnswers > 0) {
			this.#loseAnswers--;
			response.destroy();
			return;
		}

		sendJson(response, isWritten ? 200 : 409, body);
	}
}

function getKey(request: Request): string {
	// The router has already decoded the percent-encoding of the path.
	return request.params.key ?? request.params.name ?? '';
}
