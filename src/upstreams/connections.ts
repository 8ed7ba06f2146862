import {Buffer} from 'node:buffer';
import {Client, Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {NotRunError, refusalReason, UnknownOutcomeError} from '../errors/index.js';
import {isConnectError} from './connecterror.js';

/** Bounds of the connections to one engine; times in milliseconds. */
export type ConnectionLimits = {
	/** Answers in progress at most; a further one is refused as not run. */
	readonly maxStreams: number;
	/** Time to connect: an engine is a millisecond away, and a lost first packet is sent again after a second. */
	readonly connectTimeoutMs: number;
	/** Time to an answer's head, which an engine sends when it takes the request in, before it reads the prompt. */
	readonly headersTimeoutMs: number;
	/** Silence within an answer's body; a backstop only, since serving bounds the time between tokens itself. */
	readonly bodyTimeoutMs: number;
	/** Time to a control call's whole answer, which needs no work of the engine. */
	readonly controlTimeoutMs: number;
	/** A connection idle for longer is not used again, since something between may have lost track of it. */
	readonly maxIdleMs: number;
	/** An answer given up after a silence of this length puts the idle connections in doubt. */
	readonly suspectSilenceMs: number;
};

/** Limits that hold for an entry. */
export const defaultConnectionLimits: ConnectionLimits = {
	maxStreams: 256, connectTimeoutMs: 1500, headersTimeoutMs: 30_000, bodyTimeoutMs: 300_000, controlTimeoutMs: 1000, maxIdleMs: 4000, suspectSilenceMs: 1000,
};

const maxControlConnections = 2;

/** One request to an engine. */
export type EngineCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly signal?: AbortSignal;
};

/**
The connections to one engine: many for answers, few of their own for control calls, and a new one for each order.
Connections in doubt are left to their requests in progress and used for nothing new. Nothing is sent twice here.
*/
export class EngineConnections {
	readonly #origin: string;
	readonly #limits: ConnectionLimits;
	readonly #pools = new Set<Pool>();
	#streamPool: Pool;
	#controlPool: Pool;
	#streamCount = 0;
	#isClosed = false;

	constructor(address: string, limits: ConnectionLimits) {
		this.#origin = `http://${address}`;
		this.#limits = limits;
		this.#streamPool = this.#createStreamPool();
		this.#controlPool = this.#createControlPool();
	}

	/** Counts the answers in progress. */
	countStreams(): number {
		return this.#streamCount;
	}

	/**
	Sends a request whose answer may take long; `onEnd` of the result is to be called once, when it is over.
	Throws `NotRunError` and `UnknownOutcomeError`.
	*/
	async openStream(call: EngineCall): Promise<{readonly response: Dispatcher.ResponseData; readonly onEnd: () => void}> {
		if (this.#streamCount >= this.#limits.maxStreams) {
			throw new NotRunError('every connection to the engine is taken', {props: {reason: refusalReason.queueFull}});
		}

		this.#streamCount++;
		const onEnd = () => {
			this.#streamCount--;
		};

		try {
			return {response: await sendCall(this.#streamPool, call), onEnd};
		} catch (error) {
			onEnd();
			throw error;
		}
	}

	/** Sends a control call on a connection kept for these. Throws `NotRunError` and `UnknownOutcomeError`. */
	async sendControl(call: EngineCall): Promise<Dispatcher.ResponseData> {
		return sendCall(this.#controlPool, call);
	}

	/** Sends a call on a new connection, which is closed after the answer. Throws `NotRunError` and `UnknownOutcomeError`. */
	async sendOnNewConnection<Result>(call: EngineCall, onAnswer: (response: Dispatcher.ResponseData) => Promise<Result>): Promise<Result> {
		const {connectTimeoutMs, controlTimeoutMs} = this.#limits;
		const client = new Client(this.#origin, {
			pipelining: 1, connect: {timeout: connectTimeoutMs}, headersTimeout: controlTimeoutMs, bodyTimeout: controlTimeoutMs,
		});
		try {
			return await onAnswer(await sendCall(client, call));
		} finally {
			void client.destroy();
		}
	}

	/** Uses new connections for answers from now on; those in progress go on. */
	replaceStreamPool(): void {
		// An answer in doubt may end after the close; there is nothing to renew then.
		if (this.#isClosed) {
			return;
		}

		void this.#streamPool.close();
		this.#streamPool = this.#createStreamPool();
	}

	/** Uses new connections for control calls from now on. */
	replaceControlPool(): void {
		if (this.#isClosed) {
			return;
		}

		void this.#controlPool.close();
		this.#controlPool = this.#createControlPool();
	}

	/** Closes every connection at once. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await Promise.all([...this.#pools].map(async pool => pool.destroy()));
	}

	#createStreamPool(): Pool {
		const {maxStreams, headersTimeoutMs, bodyTimeoutMs} = this.#limits;
		return this.#createPool(maxStreams, headersTimeoutMs, bodyTimeoutMs);
	}

	#createControlPool(): Pool {
		const {controlTimeoutMs} = this.#limits;
		return this.#createPool(maxControlConnections, controlTimeoutMs, controlTimeoutMs);
	}

	#createPool(connections: number, headersTimeout: number, bodyTimeout: number): Pool {
		const {connectTimeoutMs, maxIdleMs} = this.#limits;
		const pool = new Pool(this.#origin, {
			connections, pipelining: 1, connect: {timeout: connectTimeoutMs}, headersTimeout, bodyTimeout, keepAliveTimeout: maxIdleMs, keepAliveMaxTimeout: maxIdleMs,
		});
		this.#pools.add(pool);
		// A pool that was renewed and has no requests left is forgotten.
		pool.on('disconnect', () => {
			if (pool.closed) {
				this.#pools.delete(pool);
			}
		});
		return pool;
	}
}

async function sendCall(dispatcher: Dispatcher, {method, path, body, signal}: EngineCall): Promise<Dispatcher.ResponseData> {
	try {
		return await dispatcher.request({
			method,
			path,
			headers: {'content-type': 'application/json'},
			body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
			signal,
		});
	} catch (error) {
		if (isConnectError(error)) {
			throw new NotRunError(`${path}: no connection`, {cause: error});
		}

		throw new UnknownOutcomeError(`${path} had no answer`, {cause: error});
	}
}
