import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	BrokenAnswerError, ForeignAnswerError, NotRunError, OrderRefusedError, StaleFenceError, UnknownOutcomeError,
} from '../errors/index.js';
import {EngineClient} from './engine.js';
import type {
	CacheEvents, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, Order,
} from './engine.js';
import {readServerEvents} from './sse.js';
import {enginePath, upstreamHeader} from './wire.js';

const engineConnections = 256;
const controlTimeoutMs = 2000;

type Method = 'GET' | 'POST';
type Sent = {readonly method: Method; readonly path: string; readonly body: unknown; readonly signal: AbortSignal};

/** A model engine over HTTP and server-sent events. */
export class HttpEngine extends EngineClient {
	readonly #pool: Pool;

	/** Takes the engine's `address`, `host:port`. */
	constructor(address: string) {
		super();
		// A stream is silent while a long prompt is read: the time between events is bounded by serving, not here.
		this.#pool = new Pool(`http://${address}`, {
			connections: engineConnections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
		});
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		const response = await this.#open(enginePath.generate, request, signal);
		let {offset} = request;
		try {
			for await (const data of readServerEvents(response.body)) {
				const event = JSON.parse(data) as GenerateEvent;
				if (event.id !== request.id || event.offset !== offset) {
					throw new ForeignAnswerError(`expected ${request.id}@${offset}, got ${event.id}@${event.offset}`);
				}

				yield event;
				if (event.kind === 'end') {
					return;
				}

				offset++;
			}
		} catch (error) {
			throw error instanceof ForeignAnswerError ? error : new BrokenAnswerError(`the answer broke off at ${offset}`, {cause: error});
		}

		throw new BrokenAnswerError(`the answer ended without its end marker at ${offset}`);
	}

	async cancel(id: string): Promise<void> {
		await this.#call('POST', enginePath.cancel, {id});
	}

	async readLoad(): Promise<LoadReport> {
		return await this.#call('GET', enginePath.load) as LoadReport;
	}

	async readState(): Promise<EngineState> {
		return await this.#call('GET', enginePath.state) as EngineState;
	}

	async sendOrder(order: Order): Promise<EngineState> {
		return await this.#call('POST', enginePath.orders, order) as EngineState;
	}

	async exportKv(request: GenerateRequest): Promise<KvHandle> {
		return await this.#call('POST', enginePath.exportKv, request) as KvHandle;
	}

	async importKv(source: string, handle: string): Promise<KvHandle> {
		return await this.#call('POST', enginePath.importKv, {source, handle}) as KvHandle;
	}

	async readCacheEvents(afterSequence: number): Promise<CacheEvents> {
		return await this.#call('GET', `${enginePath.cacheEvents}?after=${afterSequence}`) as CacheEvents;
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #open(path: string, body: unknown, signal: AbortSignal) {
		const response = await sendRequest(this.#pool, {
			method: 'POST', path, body, signal,
		});
		if (response.statusCode === 200) {
			return response;
		}

		const text = await response.body.text();
		if (response.headers[upstreamHeader.notRun] === '1') {
			throw new NotRunError(`the engine refused: ${text}`);
		}

		throw new BrokenAnswerError(`the engine failed with ${response.statusCode}: ${text}`);
	}

	async #call(method: Method, path: string, body?: unknown): Promise<unknown> {
		const response = await sendRequest(this.#pool, {
			method, path, body, signal: AbortSignal.timeout(controlTimeoutMs),
		});
		let text: string;
		try {
			text = await response.body.text();
		} catch (error) {
			throw new UnknownOutcomeError(`${path} answered in part`, {cause: error});
		}

		if (response.statusCode === 409) {
			throw new StaleFenceError(text);
		}

		if (response.statusCode !== 200) {
			throw new OrderRefusedError(`${path} answered ${response.statusCode}: ${text}`);
		}

		return JSON.parse(text) as unknown;
	}
}

async function sendRequest(pool: Pool, {method, path, body, signal}: Sent) {
	try {
		return await pool.request({
			method,
			path,
			headers: {'content-type': 'application/json'},
			body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
			signal,
		});
	} catch (error) {
		const {code} = error as {code?: string};
		if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT') {
			throw new NotRunError(`${path}: no connection`, {cause: error});
		}

		throw new UnknownOutcomeError(`${path} had no answer`, {cause: error});
	}
}
