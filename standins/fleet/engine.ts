import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {readBody, sendJson} from '../http.js';

/** Faults that a test queues in {@link FleetEngine.faults}; each applies to one request. A prefill responds only to `refuse`, `reset`, `silent`, `spoiledHandle`, those that switch protocols and the endless ones. */
export const engineFault = {
	/** Answers 503 and does not run the request. */
	refuse: 'refuse',
	/** Closes the connection without an answer. */
	reset: 'reset',
	/** Keeps the connection open and never answers. */
	silent: 'silent',
	/** Answers with the id of another request. */
	foreign: 'foreign',
	/** Closes the connection after the first bytes of the body. */
	cutBody: 'cutBody',
	/** Answers 500 after running the request. */
	failure: 'failure',
	/** Answers 503, 429 or 408 after running the request, without saying that it has not run. */
	busyAfterRun: 'busyAfterRun',
	limitAfterRun: 'limitAfterRun',
	timeoutAfterRun: 'timeoutAfterRun',
	/** Answers 503 after running the request, and says `0` where a refusal says that it has not run. */
	notRunZero: 'notRunZero',
	/** Leaves out the stamp by which an engine confirms that it ran the request. */
	noReceipt: 'noReceipt',
	/** Closes the connection in the middle of a stream's second event. */
	cutEvent: 'cutEvent',
	/** Sends one event of a stream and then nothing, with the connection open. */
	pauseStream: 'pauseStream',
	/** Sends a second answer on the connection after the right one. */
	answerTwice: 'answerTwice',
	/** Sends a complete answer without a length, ended by the close of the connection. */
	unframed: 'unframed',
	/** Sends the first bytes of an answer without a length, and then resets the connection; a stream is reset inside its second event. */
	resetUnframed: 'resetUnframed',
	/** Sends a stream without a length, and closes the connection without a reset inside its second event. */
	closeInEvent: 'closeInEvent',
	/** Ends a stream in chunks properly, but inside its second event. */
	endInEvent: 'endInEvent',
	/** Ends a stream without a length after its head, and closes the connection without a reset. */
	closeAfterHead: 'closeAfterHead',
	/** Ends a stream in chunks properly, before its first event. */
	endBeforeEvents: 'endBeforeEvents',
	/** Answers 204 without a body. */
	noContent: 'noContent',
	/** Says in this answer and in all later ones that the engine leaves; its registration does not change. */
	leave: 'leave',
	/** Sends header fields without end. */
	endlessHead: 'endlessHead',
	/** Sends informational answers without end. */
	endlessInformation: 'endlessInformation',
	/** Sends bytes of a body without end, without a length; to a stream they are one event. */
	endlessBody: 'endlessBody',
	/** Sends trailer fields without end after a body in chunks. */
	endlessTrailer: 'endlessTrailer',
	/** Sends one event of a stream, and then a byte now and then that completes none. */
	trickle: 'trickle',
	/** Sends a stream with one long pause, before its second event. */
	slowStream: 'slowStream',
	/** Sends the head of a 101 with `Upgrade`, which no request asked for, in place of an answer, and keeps the connection open. */
	switchProtocols: 'switchProtocols',
	/** The same after an informational answer. */
	continueAndSwitch: 'continueAndSwitch',
	/** Answers a stream with 204. */
	emptyStream: 'emptyStream',
	/** Answers a stream with 500 and a text that has empty lines. */
	failedStream: 'failedStream',
	/** Answers a stream with 200 and a page that has empty lines. */
	errorPage: 'errorPage',
	/** Answers a stream with events that bear no ids. */
	unnumberedEvents: 'unnumberedEvents',
	/** Sends, in the middle of a stream, lines that are no event. */
	strayLines: 'strayLines',
	/** Begins a stream with its first event, whichever event it was to go on after. */
	repeatedEvents: 'repeatedEvents',
	/** Refuses the request as not run, and writes the same refusal once more where the answer to the next request on the connection is due; it runs that one. */
	refuseTwice: 'refuseTwice',
	/** The same, and the second refusal bears no request id. */
	refuseTwiceUnnamed: 'refuseTwiceUnnamed',
	/** Answers a prefill with a handle in which one character became a blank. */
	spoiledHandle: 'spoiledHandle',
	/** Answers 503 without running the request, and asks for nothing more from this sender for {@link FleetEngine.retryAfterMs}. */
	retryAfter: 'retryAfter',
} as const;

/** See {@link engineFault}. */
export type EngineFault = (typeof engineFault)[keyof typeof engineFault];

/** A request that an engine received. */
export type Arrival = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: string;
	/** Time at which it had reached the engine, monotonic, in milliseconds. */
	readonly reachedAt: number;
	/** Time at which the engine took it up: later than {@link reachedAt} if the engine was silent. */
	readonly at: number;
	/** Fault with which the engine meets it, or which it finds on its connection. */
	readonly fault: EngineFault | undefined;
	/** Whether the connection closed before the answer was complete. */
	isCut: boolean;
	/** Monotonic time at which the answer was complete or its connection closed, in milliseconds; infinite until then. */
	endedAt: number;
	/** Whether the head of an answer was sent while the connection was open; known once the answer has ended. */
	isHeadSent: boolean;
	/** Whether the engine began to run it; never set for a prefill. */
	hasRun: boolean;
	/** Whether it was for another incarnation, and refused as such. */
	isForOther: boolean;
	/** Whether the answer says that the engine leaves. */
	isLeavingTold: boolean;
	/** Time for which the answer, a 503, asks for no further requests of its sender, in milliseconds; 0 when it does not. */
	retryAfterMs: number;
	/** Port of the sender's end of the connection. */
	readonly senderPort: number | undefined;
	/** Requests a second that the answer says the engine takes from all senders together; `undefined` when it names no limit. */
	namedLimit: number | undefined;
};

/** A limit that an engine named, infinite where it named none, and the monotonic time from which it held, in milliseconds. */
export type LimitChange = {readonly from: number; readonly perSecond: number};

/** Interval between the bytes of a stalled stream, and the pause of a slow one, in milliseconds. */
const trickleIntervalMs = 100;
const slowIntervalMs = 1000;
/** Interval between the writes of an engine that sends without end, in milliseconds, and the bytes after which it ends all the same: a link that drops bytes never closes its connection. */
const endlessIntervalMs = 5;
const maxEndlessBytes = 67_108_864;
/** Time for which an engine generates an answer that it crashes on, in milliseconds. */
const crashDelayMs = 10;

/** An answer to a request that has run, whose status promises the contrary. */
type UntrueRefusal = {readonly status: number; readonly headers: Readonly<Record<string, string>>};

const untrueRefusals: ReadonlyMap<EngineFault | undefined, UntrueRefusal> = new Map<EngineFault | undefined, UntrueRefusal>([
	[engineFault.busyAfterRun, {status: 503, headers: {}}],
	[engineFault.limitAfterRun, {status: 429, headers: {}}],
	[engineFault.timeoutAfterRun, {status: 408, headers: {}}],
	[engineFault.notRunZero, {status: 503, headers: {'Crocusworks-Not-Run': '0'}}],
]);

/** Options of a {@link FleetEngine}; an engine without a stage serves application calls. */
export type FleetEngineOptions = {
	readonly id: string;
	readonly service: string;
	readonly stage?: 'prefill' | 'decode';
	readonly slots?: number;
	/** Time that one application call or one prefill takes, in milliseconds. */
	readonly workMs?: number;
	/** Minimum size of the answer to an application call, in bytes. */
	readonly answerBytes?: number;
	/** Number of events of a stream. */
	readonly eventCount?: number;
	/** Time before each event of a stream, in milliseconds. */
	readonly eventIntervalMs?: number;
	/** Time before the first event of a stream, in milliseconds; the same as before the others unless given. */
	readonly firstEventMs?: number;
	/** Slowdown of its machine that it reports with each answer, in percent of the usual; absent where it reports none. */
	readonly slowdownPercent?: number;
	/** Blocks of prompts on which the engine crashes as soon as it begins to generate an answer. */
	readonly crashingBlocks?: ReadonlySet<string>;
	/** Called when the engine has crashed, with the id of the request that it crashed on. */
	readonly onCrash?: (requestId: string) => void;
};

/** Stand-in for the engines of the users' platform: serves application calls, prefills and event streams, with faults that a test asks for. */
export class FleetEngine {
	/** Faults of the next requests, one for each. */
	readonly faults: EngineFault[] = [];
	/** Requests received, oldest first; those for another instance and refused ones are included. */
	readonly arrivals: Arrival[] = [];
	/** Paths of the DELETE requests received, by which callers release KV caches. */
	readonly deletedPaths: string[] = [];
	/** Blocks that the engine says it holds. */
	readonly heldBlocks: Array<{readonly id: string; readonly tokens: number}> = [];
	/** Whether answers say that the engine leaves. */
	isLeaving = false;
	/** Time of the fault `retryAfter`, in milliseconds. */
	retryAfterMs = 1500;
	/** Limits that the engine named, each with the monotonic time from which it held, in milliseconds; infinite where it named none. */
	readonly limits: LimitChange[] = [];
	/** Whether the engine has crashed. */
	hasCrashed = false;
	/** Monotonic time at which the engine ended, also by a crash, in milliseconds; infinite while it runs. */
	endedAt = Number.POSITIVE_INFINITY;
	/** Times at which the engine was silent, monotonic, in milliseconds. */
	readonly silences: Array<{readonly from: number; readonly to: number}> = [];
	/** Requests that run now. */
	running = 0;
	/** Largest number of requests that ran at once. */
	maxRunning = 0;
	readonly #options: FleetEngineOptions;
	readonly #server: Server;
	/** Monotonic time until which the engine neither reads nor sends, in milliseconds. */
	#silentUntil = Number.NEGATIVE_INFINITY;
	#nextHandleNumber = 0;
	/** Connections with an answer that no request has asked for. */
	readonly #disturbedSockets = new WeakSet<Socket>();
	/** Refusals that are written once more, by connection. */
	readonly #repeatedRefusals = new WeakMap<Socket, string>();

	constructor(options: FleetEngineOptions) {
		this.#options = options;
		this.#server = createServer({keepAliveTimeout: 5000}, (request, response) => {
			void this.#serve(request, response);
		});
	}

	/** Address that the engine listens at, `host:port`. */
	get address(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `127.0.0.1:${port}`;
	}

	/** The engine's registration, as it is written to the store. */
	get registration(): Record<string, unknown> {
		const {service, stage, slots = 6} = this.#options;
		return {
			service, address: this.address, zone: 'z1', version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq: 1,
			...(stage ? {stage, models: [{name: 'm', version: 1, adapters: []}]} : {}), born: 1_700_000_000_000,
		};
	}

	/** Requests a second that the engine takes from all senders together, as its answers say; infinite without a limit. */
	get requestLimit(): number {
		return this.limits.at(-1)?.perSecond ?? Number.POSITIVE_INFINITY;
	}

	set requestLimit(perSecond: number) {
		this.limits.push({from: performance.now(), perSecond});
	}

	/** Starts to listen; port 0 binds to a free port. */
	async start(port = 0): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Stops listening and closes every connection. */
	async stop(): Promise<void> {
		this.endedAt = Math.min(this.endedAt, performance.now());
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	/** Ends as a crashed process does: closes every connection and no longer accepts any. */
	async abort(requestId: string): Promise<void> {
		this.hasCrashed = true;
		const stopped = this.stop();
		this.#options.onCrash?.(requestId);
		await stopped;
	}

	/** Falls silent for `durationMs`: keeps all connections, accepts new ones, and neither reads nor sends anything; then it goes on where it was. */
	startSilence(durationMs: number): void {
		const from = performance.now();
		this.#silentUntil = Math.max(this.#silentUntil, from + durationMs);
		this.silences.push({from, to: this.#silentUntil});
	}

	/** Counts the open connections. */
	async countConnections(): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.getConnections((error, count) => {
				if (error) {
					reject(error);
				} else {
					resolve(count);
				}
			});
		});
	}

	/** Lists the received requests that ran. */
	listRuns(): Arrival[] {
		return this.arrivals.filter(({hasRun}) => hasRun);
	}

	async #waitForSilence(): Promise<void> {
		for (let remainingMs = this.#silentUntil - performance.now(); remainingMs > 0; remainingMs = this.#silentUntil - performance.now()) {
			await sleep(remainingMs);
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = new TextDecoder().decode(await readBody(request));
		const reachedAt = performance.now();
		await this.#waitForSilence();
		if (request.method === 'DELETE') {
			this.deletedPaths.push(request.url ?? '');
			sendJson(response, 200, {});
			return;
		}

		if (request.url === '/kv-list') {
			sendJson(response, 200, {epoch: 1, next: 0, held: this.heldBlocks.map(({id, tokens}) => ['', id, tokens, 'm'])});
			return;
		}

		const {headers} = request;
		const isForOther = headers['crocusworks-expect-instance'] !== this.#options.id;
		const fault = isForOther ? undefined : this.faults.shift();
		const arrival: Arrival = {
			id: String(headers['crocusworks-request-id']), senderPort: request.socket.remotePort, method: request.method ?? '', path: request.url ?? '', headers, body, reachedAt, at: performance.now(), fault: this.#selectFault(request.socket, fault), isCut: response.destroyed, endedAt: response.destroyed ? performance.now() : Number.POSITIVE_INFINITY, isHeadSent: false, hasRun: false, isForOther, isLeavingTold: false, retryAfterMs: 0, namedLimit: undefined,
		};
		this.arrivals.push(arrival);
		response.on('close', () => {
			arrival.isCut = !response.writableFinished;
			arrival.endedAt = performance.now();
			arrival.isHeadSent ||= response.headersSent;
		});
		this.isLeaving ||= fault === engineFault.leave;
		arrival.isLeavingTold = this.isLeaving && !arrival.isForOther;
		if (!arrival.isForOther && Number.isFinite(this.requestLimit)) {
			arrival.namedLimit = this.requestLimit;
		}

		const commonHeaders: Record<string, string> = {
			'Crocusworks-Request-Id': arrival.id, 'Crocusworks-Server-Load': `${this.running},0,${this.#options.slots ?? 6}${this.#options.slowdownPercent === undefined ? '' : `,${this.#options.slowdownPercent}`}`, ...(this.isLeaving ? {'Server-Leaving': '1'} : {}), ...(arrival.namedLimit === undefined ? {} : {'Server-Limit': String(arrival.namedLimit)}),
		};
		if (arrival.isForOther) {
			sendJson(response, 421, {error: 'other instance'}, {...commonHeaders, 'Crocusworks-Instance-Id': this.#options.id});
			return;
		}

		if (fault === engineFault.refuseTwice || fault === engineFault.refuseTwiceUnnamed) {
			sendJson(response, 503, {error: 'full'}, {...commonHeaders, 'Crocusworks-Not-Run': '1'});
			const named = fault === engineFault.refuseTwice ? `Crocusworks-Request-Id: ${arrival.id}\r\n` : '';
			this.#repeatedRefusals.set(request.socket, `HTTP/1.1 503 Service Unavailable\r\n${named}Crocusworks-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		const repeated = this.#repeatedRefusals.get(request.socket);
		if (repeated !== undefined) {
			this.#repeatedRefusals.delete(request.socket);
			request.socket.write(repeated);
		}

		if (fault === engineFault.refuse) {
			sendJson(response, 503, {error: 'full'}, {...commonHeaders, 'Crocusworks-Not-Run': '1'});
			return;
		}

		if (fault === engineFault.retryAfter) {
			arrival.retryAfterMs = this.retryAfterMs;
			sendJson(response, 503, {error: 'full'}, {...commonHeaders, 'Crocusworks-Not-Run': '1', 'Retry-After': String(this.retryAfterMs / 1000)});
			return;
		}

		if (fault === engineFault.switchProtocols || fault === engineFault.continueAndSwitch) {
			arrival.hasRun = arrival.headers['crocusworks-stage'] !== 'prefill';
			const informational = fault === engineFault.continueAndSwitch ? 'HTTP/1.1 100 Continue\r\n\r\n' : '';
			response.socket?.write(`${informational}HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nCrocusworks-Request-Id: ${arrival.id}\r\n\r\n`);
			return;
		}

		this.running++;
		this.maxRunning = Math.max(this.maxRunning, this.running);
		try {
			await this.#run(arrival, response, {...commonHeaders, 'Crocusworks-Server-Stamp': `stamp.${this.#options.id}`}, fault);
		} finally {
			this.running--;
		}
	}

	/** Selects the fault that a request meets first: a refusal that comes once more is written before anything else, another answer that it has not asked for stands back behind its own fault. */
	#selectFault(socket: Socket, ownFault: EngineFault | undefined): EngineFault | undefined {
		if (this.#repeatedRefusals.has(socket)) {
			return engineFault.answerTwice;
		}

		return ownFault ?? (this.#disturbedSockets.has(socket) ? engineFault.answerTwice : undefined);
	}

	async #run(arrival: Arrival, response: ServerResponse, commonHeaders: Record<string, string>, fault: EngineFault | undefined): Promise<void> {
		if (arrival.headers['crocusworks-stage'] === 'prefill') {
			await this.#runPrefill(arrival, response, commonHeaders, fault);
			return;
		}

		arrival.hasRun = true;
		if (listBlocks(arrival).some(id => this.#options.crashingBlocks?.has(id))) {
			await sleep(crashDelayMs);
			await this.abort(arrival.id);
			return;
		}

		if (fault === engineFault.reset) {
			response.socket?.destroy();
			return;
		}

		if (fault === engineFault.silent) {
			return;
		}

		if (isEndless(fault)) {
			arrival.isHeadSent = fault !== engineFault.endlessInformation && isOpen(response.socket ?? undefined);
			await sendEndless(response.socket ?? undefined, commonHeaders, fault);
			return;
		}

		const {'Crocusworks-Server-Stamp': stamp, ...headersWithoutStamp} = commonHeaders;
		const headers = fault === engineFault.noReceipt ? headersWithoutStamp : {...headersWithoutStamp, 'Crocusworks-Server-Stamp': stamp!};
		if (fault === engineFault.foreign) {
			headers['Crocusworks-Request-Id'] = 'another-request';
		}

		const refusal = untrueRefusals.get(fault);
		if (refusal) {
			await sleep(this.#options.workMs ?? 1);
			sendJson(response, refusal.status, {error: 'busy'}, {...headers, ...refusal.headers});
			return;
		}

		if (this.#options.stage) {
			await this.#runStream(arrival, response, headers, fault);
			return;
		}

		await sleep(this.#options.workMs ?? 1);
		await this.#waitForSilence();
		const text = `answer to ${arrival.id}`.padEnd(this.#options.answerBytes ?? 0, '.');
		if (fault === engineFault.noContent) {
			response.writeHead(204, headers);
			response.end();
			return;
		}

		if (fault === engineFault.unframed || fault === engineFault.resetUnframed) {
			arrival.isHeadSent = isOpen(response.socket ?? undefined);
			await sendWithoutLength(response.socket ?? undefined, headers, fault === engineFault.unframed ? text : text.slice(0, 4), fault === engineFault.unframed);
			return;
		}

		response.writeHead(fault === engineFault.failure ? 500 : 200, {...headers, 'Content-Length': text.length});
		if (fault === engineFault.cutBody) {
			response.write(text.slice(0, 4));
			await sleep(1);
			response.socket?.destroy();
			return;
		}

		const {socket} = response;
		response.end(text, () => {
			if (fault === engineFault.answerTwice && socket) {
				this.#disturbedSockets.add(socket);
				sendUnrequestedAnswer(socket, text);
			}
		});
	}

	async #runPrefill(arrival: Arrival, response: ServerResponse, commonHeaders: Record<string, string>, fault: EngineFault | undefined): Promise<void> {
		if (fault === engineFault.silent) {
			return;
		}

		if (fault === engineFault.reset) {
			response.socket?.destroy();
			return;
		}

		if (isEndless(fault)) {
			arrival.isHeadSent = fault !== engineFault.endlessInformation && isOpen(response.socket ?? undefined);
			await sendEndless(response.socket ?? undefined, commonHeaders, fault);
			return;
		}

		await sleep(this.#options.workMs ?? 1);
		await this.#waitForSilence();
		const separator = fault === engineFault.spoiledHandle ? ' ' : '';
		sendJson(response, 200, {kv_handle: `h${separator}${this.#nextHandleNumber++}`, tokens: 10, version: 1}, commonHeaders);
	}

	async #runStream(arrival: Arrival, response: ServerResponse, headers: Record<string, string>, fault: EngineFault | undefined): Promise<void> {
		const {eventCount = 3, eventIntervalMs = 1, firstEventMs = eventIntervalMs} = this.#options;
		const firstId = fault === engineFault.repeatedEvents ? 1 : Number(arrival.headers['last-event-id'] ?? 0) + 1;
		if (fault === engineFault.emptyStream || fault === engineFault.failedStream) {
			response.writeHead(fault === engineFault.emptyStream ? 204 : 500, headers);
			response.end(fault === engineFault.emptyStream ? undefined : 'failure\n\n');
			return;
		}

		if (fault === engineFault.errorPage) {
			response.writeHead(200, {...headers, 'Content-Type': 'text/html'});
			response.end('<html>\n\n<body>out of order</body>\n\n</html>\n\n');
			return;
		}

		if (fault === engineFault.unframed || fault === engineFault.resetUnframed || fault === engineFault.closeInEvent || fault === engineFault.closeAfterHead) {
			const events = Array.from({length: Math.max(0, eventCount - firstId + 1)}, (_, index) => formatEvent(firstId + index, arrival.id));
			const cutEvents = fault === engineFault.closeAfterHead ? '' : events.slice(0, 1).join('') + (events[1] ?? '').slice(0, 9);
			const text = fault === engineFault.unframed ? events.join('') : cutEvents;
			arrival.isHeadSent = isOpen(response.socket ?? undefined);
			await sendWithoutLength(response.socket ?? undefined, {...headers, 'Content-Type': 'text/event-stream'}, text, fault !== engineFault.resetUnframed);
			return;
		}

		if (response.destroyed) {
			return;
		}

		response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
		if (fault === engineFault.endBeforeEvents) {
			response.end();
			return;
		}

		for (let id = firstId; id <= eventCount; id++) {
			const intervalMs = fault === engineFault.slowStream && id === firstId + 1 ? slowIntervalMs : eventIntervalMs;
			await sleep(id === firstId ? firstEventMs : intervalMs);
			await this.#waitForSilence();
			const event = fault === engineFault.unnumberedEvents ? `data: piece of ${arrival.id}\n\n` : formatEvent(id, arrival.id);
			if (fault === engineFault.strayLines && id === firstId + 1) {
				response.write('HTTP/1.1 502 Bad Gateway\r\n\r\n');
			}

			if (fault === engineFault.trickle && id === firstId + 1) {
				await sendTrickle(response, event);
				return;
			}

			if (fault === engineFault.pauseStream && id === firstId + 1) {
				return;
			}

			if (fault === engineFault.cutEvent && id === firstId + 1) {
				response.write(event.slice(0, 9));
				await sleep(5);
				response.socket?.destroy();
				return;
			}

			if (fault === engineFault.endInEvent && id === firstId + 1) {
				response.end(event.slice(0, 9));
				return;
			}

			response.write(event);
		}

		response.end();
	}
}

/** Lists the ids of a request's prompt blocks, without the last one, which belongs to the request alone. */
export function listBlocks({headers}: Arrival): string[] {
	return String(headers['crocusworks-prompt-prefix'] ?? '').split(',').slice(0, -1).map(item => item.trim().split(':')[0]!);
}

function formatEvent(id: number, requestId: string): string {
	return `id: ${id}\ndata: piece ${id} of ${requestId}\n\n`;
}

type EndlessFault = 'endlessHead' | 'endlessInformation' | 'endlessBody' | 'endlessTrailer';

const endlessFaults: ReadonlySet<string | undefined> = new Set<EndlessFault>(['endlessHead', 'endlessInformation', 'endlessBody', 'endlessTrailer']);

function isEndless(fault: EngineFault | undefined): fault is EndlessFault {
	return endlessFaults.has(fault);
}

/** Sends what `fault` says until the connection is closed. */
async function sendEndless(socket: Socket | undefined, headers: Record<string, string>, fault: EndlessFault): Promise<void> {
	const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const start = {
		endlessHead: `HTTP/1.1 200 OK\r\n${fields}`,
		endlessInformation: '',
		endlessBody: `HTTP/1.1 200 OK\r\n${fields}Connection: close\r\n\r\ndata: `,
		endlessTrailer: `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n`,
	}[fault];
	const repeated = {
		endlessHead: 'X-More: more\r\n'.repeat(100), endlessInformation: 'HTTP/1.1 100 Continue\r\n\r\n', endlessBody: 'x'.repeat(65_536), endlessTrailer: 'X-More: more\r\n'.repeat(100),
	}[fault];
	socket?.write(start);
	for (let sentBytes = 0; isOpen(socket) && sentBytes < maxEndlessBytes; sentBytes += repeated.length) {
		const isFull = !socket.write(repeated);
		if (isFull) {
			await new Promise<void>(resolve => {
				socket.once('drain', resolve);
				socket.once('close', () => {
					resolve();
				});
			});
		}

		await sleep(endlessIntervalMs);
	}

	socket?.destroy();
}

function isOpen(socket: Socket | undefined): socket is Socket {
	return socket !== undefined && !socket.destroyed;
}

/** Sends a byte of an event at an interval until the connection is closed; the event is never complete. */
async function sendTrickle(response: ServerResponse, event: string): Promise<void> {
	for (let index = 0; index < event.length - 2 && !response.destroyed; index++) {
		response.write(event.slice(index, index + 1));
		await sleep(trickleIntervalMs);
	}
}

/** Sends an answer without a length; its end is the end of the connection: a close when `isComplete`, otherwise a reset. */
async function sendWithoutLength(socket: Socket | undefined, headers: Record<string, string>, text: string, isComplete: boolean): Promise<void> {
	const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket?.write(`HTTP/1.1 200 OK\r\n${fields}Connection: close\r\n\r\n${text}`);
	await sleep(20);
	if (isComplete) {
		socket?.end();
	} else {
		socket?.resetAndDestroy();
	}
}

/** Sends a further answer on a connection whose request is answered already. */
function sendUnrequestedAnswer(socket: Socket, text: string): void {
	socket.write(`HTTP/1.1 200 OK\r\nCrocusworks-Request-Id: late\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
}
