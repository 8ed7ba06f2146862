import type {EngineRole} from '../deployment/index.js';

/** A request as an engine takes it. */
export type GenerateRequest = {
	/** Unique for ever; the engine puts it on every event of the answer. */
	readonly id: string;
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly prompt: string;
	/** Size of the prompt in tokens. */
	readonly promptTokens: number;
	/** Most tokens of the answer. */
	readonly maxTokens: number;
	/** Index of the first token wanted; above 0 to resume. */
	readonly offset: number;
	/** Higher goes first. */
	readonly priority: number;
	/** Handle of an imported KV cache of the prompt, if any. */
	readonly kv?: string;
};

/** One token of an answer. */
export type TokenEvent = {
	readonly kind: 'token';
	readonly id: string;
	/** Index of the token in the whole answer, from 0. */
	readonly offset: number;
	readonly text: string;
};

/** The end marker: only with it is an answer whole. */
export type EndEvent = {
	readonly kind: 'end';
	readonly id: string;
	/** Count of tokens in the whole answer. */
	readonly offset: number;
	readonly finishReason: 'stop' | 'length';
	readonly promptTokens: number;
};

/** An event of an engine's answer. */
export type GenerateEvent = TokenEvent | EndEvent;

/** What an engine says of its load; it is some hundred milliseconds old when read. */
export type LoadReport = {
	/** Rises with each report. */
	readonly sequence: number;
	/** Rises with each start of the engine. */
	readonly incarnation: number;
	readonly role: EngineRole;
	readonly running: number;
	readonly waiting: number;
	/** Prompt tokens accepted and not yet processed. */
	readonly prefillTokens: number;
	/** Output tokens of accepted requests not yet generated, at most. */
	readonly decodeTokens: number;
	/** KV pieces in use and in all, of a thousand tokens each. */
	readonly piecesUsed: number;
	readonly pieces: number;
};

/** Whether an engine takes new work. */
export const enginePhase = {
	ready: 'ready',
	/** Refuses new work as not run and finishes what it has. */
	draining: 'draining',
	/** Changes its role or loads; refuses everything as not run. */
	away: 'away',
} as const;

/** See {@link enginePhase}. */
export type EnginePhase = (typeof enginePhase)[keyof typeof enginePhase];

/** What an engine is at this moment, without lag. */
export type EngineState = {
	readonly incarnation: number;
	readonly phase: EnginePhase;
	readonly role: EngineRole;
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	/** Highest fencing number seen; 0 on an engine that ignores them. */
	readonly fence: number;
	/** Id of the last order that took effect, empty after a start. */
	readonly lastOrder: string;
	readonly running: number;
};

/** What an engine can be ordered to do. */
export const orderKind = {
	/** Raises the engine's fence and changes nothing else. */
	seal: 'seal',
	/** Refuse new work and finish what is running. */
	drain: 'drain',
	/** Take new work again. */
	resume: 'resume',
	/** Be set up as `target` says: role, model, version, adapters; away for seconds, then ready. */
	configure: 'configure',
} as const;

/** See {@link orderKind}. */
export type OrderKind = (typeof orderKind)[keyof typeof orderKind];

/** What an engine is to be after a `configure` order. */
export type EngineTarget = {
	readonly role: EngineRole;
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
};

/** An order to an engine. */
export type Order = {
	readonly id: string;
	readonly fence: number;
	readonly kind: OrderKind;
	readonly target?: EngineTarget;
};

/** A KV cache held for import, with its size. */
export type KvHandle = {
	readonly handle: string;
	readonly bytes: number;
};

/** A change of an engine's prefix cache; events come late and with gaps in `sequence`. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	/** Hash of the prefix up to and with this block of the prompt. */
	readonly prefix: string;
};

/** Cache events with the engine's incarnation. */
export type CacheEvents = {
	readonly incarnation: number;
	readonly events: readonly CacheEvent[];
};

/**
A model engine. Errors: `NotRunError` when no part of the call can have started, `BrokenAnswerError` when an
answer stops before its end marker, `ForeignAnswerError` when an event carries another id or offset,
`UnknownOutcomeError` when an order's answer was lost, `StaleFenceError` and `OrderRefusedError` for orders.
*/
export abstract class EngineClient {
	/** Generates an answer; the iteration ends after the end event, and aborting `signal` closes the connection. */
	abstract generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerateEvent>;
	/** Cancels a request; does nothing when the engine does not have it. */
	abstract cancel(id: string): Promise<void>;
	/** Reads the lagging load report. */
	abstract readLoad(): Promise<LoadReport>;
	/** Reads the state of this moment. */
	abstract readState(): Promise<EngineState>;
	/** Sends an order and returns the state after it was accepted. */
	abstract sendOrder(order: Order): Promise<EngineState>;
	/** Prefills a prompt and holds its KV cache for import elsewhere. */
	abstract exportKv(request: GenerateRequest, signal: AbortSignal): Promise<KvHandle>;
	/** Fetches a KV cache from the engine at `source` (`host:port`). */
	abstract importKv(source: string, handle: string, signal: AbortSignal): Promise<KvHandle>;
	/** Reads cache events above `afterSequence`. */
	abstract readCacheEvents(afterSequence: number): Promise<CacheEvents>;
}
