import type {EngineLoad} from '../dispatch/index.js';
import type {GatewayRequest, HeaderList} from './types.js';

/** Address of an engine's lifetime. */
export type EngineTarget = {
	/** Names one lifetime of the engine; another process at the address refuses the request. */
	readonly id: string;
	/** `host:port`. */
	readonly address: string;
};

/** KV cache of a prompt that another engine has read. */
export type KvCacheHandle = {
	/** `host:port` of the engine that read the prompt. */
	readonly address: string;
	readonly handle: string;
};

/** One send of a request to an engine. */
export type EngineCall = {
	readonly target: EngineTarget;
	readonly request: GatewayRequest;
	/** Time that the engine has, in milliseconds. */
	readonly remainingMs: number;
	/** The engine only reads the prompt and keeps its KV cache. */
	readonly isPrefill: boolean;
	/** The engine goes on from this KV cache. */
	readonly continueFrom: KvCacheHandle | undefined;
	/** `host:port` of an engine whose cached parts of the prompt are fetched first. */
	readonly fetchFrom: string | undefined;
	/** Goes on after this event instead of the caller's own. */
	readonly resumeAfter: string | undefined;
	/** May use a connection that has been idle for longer; set when a lost request may be sent again. */
	readonly mayReuseIdle: boolean;
	/** Aborting it closes the connection, so that the engine stops. */
	readonly signal: AbortSignal;
};

/** An engine's answer whose body is still to be read. */
export abstract class EngineReply {
	abstract readonly status: number;
	/** Fields that are passed on to the caller. */
	abstract readonly headers: HeaderList;
	/** The engine says that it did not run the request and never will. */
	abstract readonly isNotRun: boolean;
	/** Another process has the engine's address. */
	abstract readonly isOtherEngine: boolean;
	/** The answer carries the engine's receipt, without which a success is not an engine's. */
	abstract readonly hasReceipt: boolean;
	abstract readonly load: EngineLoad | undefined;

	/** Reads pieces of the body as they come; throws `BrokenAnswerError` when it ends early. */
	abstract generateBody(): AsyncGenerator<Uint8Array, void>;

	/** Gives up the rest of the body and closes the connection. */
	abstract abort(): void;
}

/** Sends requests to engines. */
export abstract class EngineLink {
	/**
	Sends a request and returns the beginning of the answer.
	Throws `NotSentError` when no byte of the request left, `ForeignAnswerError` when another request's answer came,
	and `BrokenAnswerError` when the connection ended without an answer.
	*/
	abstract send(call: EngineCall): Promise<EngineReply>;

	/** Frees a KV cache that no engine will take. */
	abstract releaseKvCache(handle: KvCacheHandle, engineId: string): void;

	/** Reads the result of a call that only read the prompt. */
	abstract readHandle(reply: EngineReply): Promise<string>;
}

/** The answer to one caller. */
export abstract class CallerAnswer {
	/** Aborted when the caller has gone. */
	abstract readonly signal: AbortSignal;
	/** Whether the status has been sent. */
	abstract readonly isStarted: boolean;

	/** Sends the status and header fields; `length` is the body's, if it is known. */
	abstract start(status: number, headers: HeaderList, length: number | undefined): void;

	/** Sends a piece of the body; resolves when the caller takes more. */
	abstract write(bytes: Uint8Array): Promise<void>;

	/** Ends the answer as complete. */
	abstract finish(): void;

	/** Ends the connection, so that what was sent does not look complete. */
	abstract abort(): void;

	/** Sends an answer of this system's own; `retryAfterMs` says when to come back. */
	abstract refuse(status: number, reason: string, retryAfterMs: number | undefined): void;
}
