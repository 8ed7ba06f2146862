import type {Dispatcher} from 'undici';
import {
	BrokenAnswerError, ForeignAnswerError, NotRunError, OrderRefusedError, StaleFenceError, UnknownOutcomeError,
} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import {SystemTimers} from '../timers/index.js';
import {defaultConnectionLimits, EngineConnections} from './connections.js';
import type {ConnectionLimits, EngineCall} from './connections.js';
import {EngineClient, OrderConnection} from './engine.js';
import type {
	CacheEvents, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, Order,
} from './engine.js';
import type {SoleConnection} from './soleconnection.js';
import {readServerEvents} from './sse.js';
import {enginePath, upstreamHeader} from './wire.js';

type EngineAnswer = {readonly status: number; readonly isNotRun: boolean; readonly text: string};

/**
A model engine over HTTP and server-sent events. Throws `NotRunError` only if no connection was available or the answer has the
header `x-not-run` and names the send; any other lost answer gives `BrokenAnswerError` or `UnknownOutcomeError`.
*/
export class HttpEngine extends EngineClient {
	readonly #connections: EngineConnections;
	readonly #limits: ConnectionLimits;
	readonly #timers: TimerService;
	#sendCount = 0;

	/** `address` is `host:port` of the engine. */
	constructor(address: string, limits: Partial<ConnectionLimits> = {}, timers: TimerService = new SystemTimers()) {
		super();
		this.#limits = {...defaultConnectionLimits, ...limits};
		this.#timers = timers;
		this.#connections = new EngineConnections(address, this.#limits);
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		let lastReceivedAt = this.#timers.getNow();
		let {offset} = request;
		let onEnd: (() => void) | undefined;
		let events: AsyncGenerator<string> | undefined;
		try {
			const sendId = `${request.id}/${this.#sendCount++}`;
			const stream = await this.#connections.openStream({
				method: 'POST', path: enginePath.generate, body: request, signal, sendId,
			});
			({onEnd} = stream);
			await checkStatus(stream.response, sendId);
			events = readServerEvents(stream.response.body);
			for (;;) {
				const event = await readEvent(events, request.id, offset);
				lastReceivedAt = this.#timers.getNow();
				if (event.kind === 'end') {
					// Reads to the end of the body, so that the connection can be reused.
					void readToEnd(events);
					events = undefined;
					yield event;
					return;
				}

				yield event;
				offset++;
			}
		} catch (error) {
			this.#replaceSuspectPool(lastReceivedAt);
			throw isGenerateError(error) ? error : new BrokenAnswerError(`the answer broke off at ${offset}`, {cause: error});
		} finally {
			onEnd?.();
			// Closes the connection if the iteration was stopped early.
			void events?.return(undefined);
		}
	}

	async cancel(id: string): Promise<void> {
		await this.#callIdempotent({method: 'POST', path: enginePath.cancel, body: {id}});
	}

	async readLoad(): Promise<LoadReport> {
		return await this.#callIdempotent({method: 'GET', path: enginePath.load}) as LoadReport;
	}

	async readState(): Promise<EngineState> {
		return await this.#callIdempotent({method: 'GET', path: enginePath.state}) as EngineState;
	}

	async openOrderConnection(): Promise<OrderConnection> {
		return new HttpOrderConnection(this.#connections, await this.#connections.openConnection(), this.#timers);
	}

	async exportKv(request: GenerateRequest, signal?: AbortSignal): Promise<KvHandle> {
		return this.#callKv({
			method: 'POST', path: enginePath.exportKv, body: request, signal,
		});
	}

	async importKv(source: string, handle: string, signal?: AbortSignal): Promise<KvHandle> {
		return this.#callKv({
			method: 'POST', path: enginePath.importKv, body: {source, handle}, signal,
		});
	}

	async readCacheEvents(afterSequence: number): Promise<CacheEvents> {
		return await this.#callIdempotent({method: 'GET', path: `${enginePath.cacheEvents}?after=${afterSequence}`}) as CacheEvents;
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	/** Makes a call that may be repeated without further effect. Retries it once on a new connection if it got no usable answer. */
	async #callIdempotent(call: EngineCall): Promise<unknown> {
		try {
			return await this.#callControl(call);
		} catch (error) {
			if (!(error instanceof UnknownOutcomeError)) {
				throw error;
			}

			this.#connections.replaceControlPool();
			return this.#callControl(call);
		}
	}

	async #callControl(call: EngineCall): Promise<unknown> {
		return parseAnswer(await readAnswer(await this.#connections.sendControl(call), call.path), call.path);
	}

	async #callKv(call: EngineCall): Promise<KvHandle> {
		const {response, onEnd} = await this.#connections.openStream(call);
		try {
			return parseAnswer(await readAnswer(response, call.path), call.path) as KvHandle;
		} finally {
			onEnd();
		}
	}

	#replaceSuspectPool(lastReceivedAt: number): void {
		if (this.#timers.getNow() - lastReceivedAt >= this.#limits.suspectSilenceMs) {
			this.#connections.replaceStreamPool();
		}
	}
}

/** See {@link OrderConnection}. */
class HttpOrderConnection extends OrderConnection {
	readonly #connections: EngineConnections;
	readonly #connection: SoleConnection;
	readonly #timers: TimerService;

	constructor(connections: EngineConnections, connection: SoleConnection, timers: TimerService) {
		super();
		this.#connections = connections;
		this.#connection = connection;
		this.#timers = timers;
	}

	async send(order: Order): Promise<EngineState> {
		// Reads the end of the connection, if it came while this process was held up.
		await new Promise<void>(resolve => {
			this.#timers.startTimeout(0, resolve);
		});
		const response = await this.#connections.sendOnConnection(this.#connection, {method: 'POST', path: enginePath.orders, body: order});
		const answer = await readAnswer(response, enginePath.orders);
		if (answer.status === 409) {
			throw new StaleFenceError(answer.text);
		}

		if (answer.isNotRun || (answer.status >= 400 && answer.status < 500)) {
			throw new OrderRefusedError(answer.text);
		}

		return parseAnswer(answer, enginePath.orders) as EngineState;
	}

	close(): void {
		this.#connection.close();
	}
}

/** Checks that an engine answers a send with events. A refusal counts only where it names the send: an engine may write an earlier one once more and run the request. */
async function checkStatus(response: Dispatcher.ResponseData, sendId: string): Promise<void> {
	if (response.statusCode === 200) {
		return;
	}

	const isOwn = response.headers[upstreamHeader.requestId] === sendId;
	const answer = await readAnswer(response, enginePath.generate);
	if (answer.isNotRun && isOwn) {
		throw new NotRunError(`the engine refused: ${answer.text}`);
	}

	throw new BrokenAnswerError(`the engine failed with ${answer.status}: ${answer.text}`);
}

async function readEvent(events: AsyncGenerator<string>, id: string, offset: number): Promise<GenerateEvent> {
	const result = await events.next();
	if (result.done) {
		throw new BrokenAnswerError(`the answer ended without its end marker at ${offset}`);
	}

	const event = JSON.parse(result.value) as GenerateEvent;
	if (event.id !== id || event.offset !== offset) {
		throw new ForeignAnswerError(`expected ${id}@${offset}, got ${event.id}@${event.offset}`);
	}

	return event;
}

async function readToEnd(events: AsyncGenerator<string>): Promise<void> {
	try {
		await events.next();
	} catch {
		// The answer is complete already; only its connection is lost.
	}
}

async function readAnswer(response: Dispatcher.ResponseData, path: string): Promise<EngineAnswer> {
	const isNotRun = response.headers[upstreamHeader.notRun] === '1';
	try {
		return {status: response.statusCode, isNotRun, text: await response.body.text()};
	} catch (error) {
		if (isNotRun) {
			return {status: response.statusCode, isNotRun, text: ''};
		}

		throw new UnknownOutcomeError(`${path} answered in part`, {cause: error});
	}
}

function parseAnswer({status, isNotRun, text}: EngineAnswer, path: string): unknown {
	if (isNotRun) {
		throw new NotRunError(`${path} was refused: ${text}`);
	}

	if (status !== 200) {
		throw new UnknownOutcomeError(`${path} answered ${status}: ${text}`);
	}

	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new UnknownOutcomeError(`${path} answered what is not JSON`, {cause: error});
	}
}

function isGenerateError(error: unknown): boolean {
	return error instanceof NotRunError || error instanceof ForeignAnswerError || error instanceof BrokenAnswerError;
}
