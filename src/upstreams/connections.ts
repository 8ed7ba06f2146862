import {Buffer} from 'node:buffer';
import {Client, Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {NotRunError, refusalReason, UnknownOutcomeError} from '../errors/index.js';
import {isConnectError} from './connecterror.js';
import {createConnector} from './connector.js';
import {SoleConnection} from './soleconnection.js';
import {upstreamHeader} from './wire.js';

/** Limits on the connections to one engine. */
export type ConnectionLimits = {
	/** Largest number of answers in progress. Further requests are refused as not run. */
	readonly maxStreams: number;
	/** Time to connect. An engine is about a millisecond away, but a lost first packet is sent again only after a second. */
	readonly connectTimeoutMs: number;
	/** Time until the headers of an answer, which an engine sends when it accepts the request, before the prefill. */
	readonly headersTimeoutMs: number;
	/** Longest silence within the body of an answer. Only a fallback, since src/serving limits the time between tokens itself. */
	readonly bodyTimeoutMs: number;
	/**
	Time until the headers of the answer to a control call, and longest silence within its body. Such a call needs no work of the
	engine.
	*/
	readonly controlTimeoutMs: number;
	/** Connections that were idle for longer are not reused, since a device on the way may have dropped them without notice. */
	readonly maxIdleMs: number;
	/** When an answer is given up after a silence of at least this length, the idle connections are suspected to be dead too. */
	readonly suspectSilenceMs: number;
};

/** Limits that entries use. */
export const defaultConnectionLimits: ConnectionLimits = {
	maxStreams: 256, connectTimeoutMs: 1500, headersTimeoutMs: 30_000, bodyTimeoutMs: 300_000, controlTimeoutMs: 1000, maxIdleMs: 4000, suspectSilenceMs: 1000,
};

const maxControlConnections = 2;

/** One HTTP request to an engine. */
export type EngineCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly signal?: AbortSignal;
	/** Identifies this send; the engine names it in its answer. */
	readonly sendId?: string;
};

/**
The connections to one engine: a large pool for answers, a small one for control calls, and a new connection for each order.
Connections that are suspected to be dead get no new requests, but those in progress on them continue. No request is retried.
*/
export class EngineConnections {
	readonly #address: string;
	readonly #origin: string;
	readonly #limits: ConnectionLimits;
	readonly #pools = new Set<Pool>();
	#streamPool: Pool;
	#controlPool: Pool;
	#streamCount = 0;
	#isClosed = false;

	constructor(address: string, limits: ConnectionLimits) {
		this.#address = address;
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
	Sends a request whose answer may take long. Call `onEnd` of the result once, when the answer has ended or was given up. Throws
	`NotRunError` if all connections are in use or none could be opened, and `UnknownOutcomeError` if no answer came.
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

	/** Sends a control call on a connection of the pool for such calls. Throws `NotRunError` and `UnknownOutcomeError`. */
	async sendControl(call: EngineCall): Promise<Dispatcher.ResponseData> {
		return sendCall(this.#controlPool, call);
	}

	/** Opens a connection for one call, see {@link sendOnConnection}. Throws `NotRunError`. */
	async openConnection(): Promise<SoleConnection> {
		return SoleConnection.open(this.#address, this.#limits);
	}

	/** Sends a call on a connection that was opened for it. Throws `NotRunError` when that is known to have ended, and `UnknownOutcomeError`. */
	async sendOnConnection(connection: SoleConnection, call: EngineCall): Promise<Dispatcher.ResponseData> {
		if (!connection.isOpen) {
			throw new NotRunError(`${call.path}: the connection has ended`);
		}

		return sendCall(connection.dispatcher, call);
	}

	/** Uses new connections for answers from now on. Answers in progress continue on the old ones. */
	replaceStreamPool(): void {
		// An answer may be given up after the close; there is nothing to replace then.
		if (this.#isClosed) {
			return;
		}

		void this.#streamPool.close();
		this.#streamPool = this.#createStreamPool();
	}

	/** Uses new connections for control calls from now on. Calls in progress continue on the old ones. */
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
			connections, pipelining: 1, connect: createConnector(connectTimeoutMs), headersTimeout, bodyTimeout, keepAliveTimeout: maxIdleMs, keepAliveMaxTimeout: maxIdleMs,
		});
		this.#pools.add(pool);
		// Drops a pool that was replaced once its last connection has closed.
		pool.on('disconnect', () => {
			if (pool.closed) {
				this.#pools.delete(pool);
			}
		});
		return pool;
	}
}

async function sendCall(dispatcher: Dispatcher, {method, path, body, signal, sendId}: EngineCall): Promise<Dispatcher.ResponseData> {
	try {
		return await dispatcher.request({
			method,
			path,
			headers: {'content-type': 'application/json', ...(sendId === undefined ? {} : {[upstreamHeader.requestId]: sendId})},
			body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
			signal,
		});
	} catch (error) {
		if (isConnectError(error)) {
			throw new NotRunError(`${path}: no connection`, {cause: error, props: {isUnreached: true}});
		}

		throw new UnknownOutcomeError(`${path} had no answer`, {cause: error});
	}
}
