import type {EngineRole} from '../deployment/index.js';

/** A request to generate an answer, as it is sent to an engine. */
export type GenerateRequest = {
	/** Never used again for another request; the engine puts it on every event of the answer. */
	readonly id: string;
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly prompt: string;
	/** Size of the prompt in tokens. */
	readonly promptTokens: number;
	/** Limit on the tokens of the answer. */
	readonly maxTokens: number;
	/** Index of the first token to be sent; above 0 to resume an answer. */
	readonly offset: number;
	/** Requests with a higher priority are served first. */
	readonly priority: number;
	/** Handle of the KV cache of the prompt, if the engine has imported it. */
	readonly kv?: string;
};

/** One token of an answer. */
export type TokenEvent = {
	readonly kind: 'token';
	readonly id: string;
	/** Index of the token in the whole answer, starting at 0. */
	readonly offset: number;
	readonly text: string;
};

/** The end marker of an answer. An answer without it is incomplete. */
export type EndEvent = {
	readonly kind: 'end';
	readonly id: string;
	/** Number of tokens in the whole answer. */
	readonly offset: number;
	readonly finishReason: 'stop' | 'length';
	readonly promptTokens: number;
};

/** An event of an engine's answer. */
export type GenerateEvent = TokenEvent | EndEvent;

/** Load of an engine. Some hundred milliseconds old by the time it is read. */
export type LoadReport = {
	/** Rises with each report. */
	readonly sequence: number;
	/** Rises with each start of the engine process. */
	readonly incarnation: number;
	readonly role: EngineRole;
	/** Requests in progress. */
	readonly running: number;
	/** Requests in the engine's own queue. */
	readonly waiting: number;
	/** Prompt tokens of accepted requests that are still to be prefilled. */
	readonly prefillTokens: number;
	/** Output tokens of accepted requests that are still to be generated, at most. */
	readonly decodeTokens: number;
	/** Pieces of KV cache in use; a piece holds 1,000 tokens. */
	readonly piecesUsed: number;
	/** Pieces of KV cache in total. */
	readonly pieces: number;
};

/** Whether an engine accepts new work. */
export const enginePhase = {
	ready: 'ready',
	/** Refuses new work as not run and finishes the requests in progress. */
	draining: 'draining',
	/** Changes its role or loads a model; refuses all work as not run. */
	away: 'away',
} as const;

/** See {@link enginePhase}. */
export type EnginePhase = (typeof enginePhase)[keyof typeof enginePhase];

/** State of an engine at the time of the read, without the delay of {@link LoadReport}. */
export type EngineState = {
	readonly incarnation: number;
	readonly phase: EnginePhase;
	readonly role: EngineRole;
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	/** Highest fencing number that the engine has seen; 0 if it ignores them. */
	readonly fence: number;
	/** Id of the last order that took effect; empty after a start. */
	readonly lastOrder: string;
	readonly running: number;
};

/** Kinds of orders to an engine. */
export const orderKind = {
	/** Raises the fence of the engine and changes nothing else. */
	seal: 'seal',
	/** Makes the engine refuse new work and finish the requests in progress. */
	drain: 'drain',
	/** Makes the engine accept new work again. */
	resume: 'resume',
	/** Sets the role, model, version and adapters to those of `target`. The engine is away for seconds, then ready. */
	configure: 'configure',
} as const;

/** See {@link orderKind}. */
export type OrderKind = (typeof orderKind)[keyof typeof orderKind];

/** Setup of an engine after a `configure` order. */
export type EngineTarget = {
	readonly role: EngineRole;
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
};

/** An order to an engine. Refused with `StaleFenceError` if the engine has seen a higher fencing number. */
export type Order = {
	readonly id: string;
	readonly fence: number;
	readonly kind: OrderKind;
	readonly target?: EngineTarget;
};

/**
An open connection to an engine, for one order. The order never reaches a later incarnation, however late it is sent: a connection ends with the
process that has accepted it.
*/
export abstract class OrderConnection {
	/** Sends the order and returns the state of the engine after it accepted the order. Throws as the methods of `EngineClient` do. */
	abstract send(order: Order): Promise<EngineState>;
	/** Closes the connection. */
	abstract close(): void;
}

/** Handle of a KV cache on an engine, with the size of the cache. */
export type KvHandle = {
	readonly handle: string;
	readonly bytes: number;
};

/** A change of the prefix cache of an engine. Events arrive late, and some are missing, as gaps in `sequence` show. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	/** Hash of the prompt's prefix that ends with this block, see {@link hashPrefixes}. */
	readonly prefix: string;
};

/** Cache events and the incarnation of the engine that they are from. */
export type CacheEvents = {
	readonly incarnation: number;
	readonly events: readonly CacheEvent[];
};

/**
A model engine. Methods throw `NotRunError` if no part of the call can have started, `BrokenAnswerError` if an answer stops before
its end marker, `ForeignAnswerError` if an event has another id or offset than expected, and `UnknownOutcomeError` if the answer to
another call, such as an order, was lost. Orders also throw `StaleFenceError` and `OrderRefusedError`.
*/
export abstract class EngineClient {
	/** Sends an order on a new connection and returns the state of the engine after it accepted the order. */
	async sendOrder(order: Order): Promise<EngineState> {
		const connection = await this.openOrderConnection();
		try {
			return await connection.send(order);
		} finally {
			connection.close();
		}
	}

	/** Generates an answer. The iteration ends after the end event. Aborting `signal` closes the connection. */
	abstract generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerateEvent>;
	/** Cancels a request. Has no effect if the engine does not have it. */
	abstract cancel(id: string): Promise<void>;
	/** Reads the load report, which is some hundred milliseconds old. */
	abstract readLoad(): Promise<LoadReport>;
	/** Reads the current state. */
	abstract readState(): Promise<EngineState>;
	/** Opens a connection for an order. */
	abstract openOrderConnection(): Promise<OrderConnection>;
	/** Prefills a prompt and keeps its KV cache for import by another engine. */
	abstract exportKv(request: GenerateRequest, signal: AbortSignal): Promise<KvHandle>;
	/** Makes the engine fetch a KV cache from the engine at `source` (`host:port`). */
	abstract importKv(source: string, handle: string, signal: AbortSignal): Promise<KvHandle>;
	/** Reads the cache events whose sequence is above `afterSequence`. */
	abstract readCacheEvents(afterSequence: number): Promise<CacheEvents>;
}
