import type {EngineLoad} from '../dispatch/index.js';
import type {GatewayRequest, HeaderList, PrefixBlock} from './types.js';

/** One incarnation of an engine, and its address. */
export type EngineTarget = {
	/** Id of the incarnation; another process at the address refuses the request. */
	readonly id: string;
	/** `host:port`. */
	readonly address: string;
};

/** Refers to the KV cache of a prompt, held by the engine that prefilled it. */
export type KvCacheHandle = {
	/** `host:port` of the engine that prefilled the prompt. */
	readonly address: string;
	readonly handle: string;
};

/** One send of a request to an engine. */
export type EngineCall = {
	readonly target: EngineTarget;
	readonly request: GatewayRequest;
	/** Time until the request's deadline, in milliseconds. */
	readonly remainingMs: number;
	/** The engine only prefills the prompt and holds its KV cache. */
	readonly isPrefill: boolean;
	/** KV cache from which the engine continues instead of prefilling the prompt. */
	readonly continueFrom: KvCacheHandle | undefined;
	/** `host:port` of an engine from which missing prefix blocks are fetched first. */
	readonly fetchFrom: string | undefined;
	/** Id of the event after which the stream continues; replaces the id that the caller sent. */
	readonly resumeAfter: string | undefined;
	/** Allows a connection that has been idle for a while, which the engine may have dropped without notice; set where a lost request may be sent again. */
	readonly mayReuseIdle: boolean;
	/** Aborting it closes the connection, upon which the engine stops its work. */
	readonly signal: AbortSignal;
	/** Whether header fields that tell whose request it is must not be sent on as the caller sent them. Default: they were dealt with on arrival. */
	readonly dropsIdentity?: boolean;
	/** Asked again when a connection is open that was not at the call: returns whether the request may still be sent. Default: it may. */
	readonly isPermitted?: () => boolean;
};

/** Statuses that promise a caller that its request has not run and never will, so that it may send it again. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an answer's status promises that the request has not run and never will. */
export function isNotRunStatus(status: number): boolean {
	return notRunStatuses.has(status);
}

/** What marks the end of an answer's body (RFC 9112, section 6.3). */
export const answerFraming = {
	none: 'none',
	length: 'length',
	chunked: 'chunked',
	/** The close of the connection, which an engine that breaks off causes as well. */
	connectionEnd: 'connection_end',
} as const;

/** See {@link answerFraming}. */
export type AnswerFraming = (typeof answerFraming)[keyof typeof answerFraming];

/** An engine's answer whose body has not been read. */
export abstract class EngineReply {
	abstract readonly status: number;
	abstract readonly framing: AnswerFraming;
	/** Header fields that are relayed to the caller. */
	abstract readonly headers: HeaderList;
	/** The engine says that it did not run the request and never will. */
	abstract readonly isNotRun: boolean;
	/** The answer comes from another process that has the engine's address now. */
	abstract readonly isOtherEngine: boolean;
	/** The engine finishes its requests and takes no new ones. */
	abstract readonly isLeaving: boolean;
	/** Time for which the engine, as it refuses, wants no request of this process, in milliseconds; `undefined` when it names none. */
	abstract readonly retryAfterMs: number | undefined;
	/** Requests a second that the engine takes from all entries together, as long as it says so: infinite when it names no limit, `undefined` when what it names can't be read. */
	abstract readonly requestLimit: number | undefined;
	/** The answer carries the engine's receipt; a success without one does not come from an engine. */
	abstract readonly hasReceipt: boolean;
	abstract readonly load: EngineLoad | undefined;
	/** Whether the body is a stream of events. */
	abstract readonly isEventStream: boolean;

	/** Yields chunks of the body as they arrive; throws `BrokenAnswerError` when it ends early. */
	abstract generateBody(): AsyncGenerator<Uint8Array, void>;

	/** Discards the rest of the body and closes the connection. */
	abstract abort(): void;
}

/** Sends requests to engines. */
export abstract class EngineLink {
	/**
	Sends a request and returns the answer once its status and header have arrived.
	Throws `NotSentError` when no byte of the request was sent, `ForeignAnswerError` when the answer belongs to another
	request, and `BrokenAnswerError` when the connection closed without an answer.
	*/
	abstract send(call: EngineCall): Promise<EngineReply>;

	/** Tells the engine to free a KV cache that no engine will use; returns at once and never throws. */
	abstract releaseKvCache(handle: KvCacheHandle, engineId: string): void;

	/**
	Tells whether the engine's process still accepts connections at its address: `false` when a connection is refused, `undefined` when
	that can't be told in time. Never throws.
	*/
	abstract isListening(engine: EngineTarget): Promise<boolean | undefined>;

	/** Asks an engine which prefix blocks its KV memory holds; `undefined` when it can't be asked or does not say. */
	abstract listHeldBlocks(engine: EngineTarget): Promise<readonly PrefixBlock[] | undefined>;

	/** Reads the KV cache handle from the answer to a prefill. */
	abstract readHandle(reply: EngineReply): Promise<string>;
}

/** The answer to one caller's request. */
export abstract class CallerAnswer {
	/** Aborted when the caller has disconnected. */
	abstract readonly signal: AbortSignal;
	/** Whether the status has been sent. */
	abstract readonly isStarted: boolean;

	/** Sends the status and header fields; `length` is that of the body in bytes, `undefined` if unknown. */
	abstract start(status: number, headers: HeaderList, length: number | undefined): void;

	/** Sends a chunk of the body; resolves when the caller can take more, or has disconnected. Never rejects. */
	abstract write(bytes: Uint8Array): Promise<void>;

	/** Ends the answer as complete. */
	abstract finish(): void;

	/** Closes the connection, so that the caller sees the answer as incomplete. */
	abstract abort(): void;

	/** Sends an error answer of this system; `retryAfterMs` is the time after which the caller may retry, in milliseconds. */
	abstract refuse(status: number, reason: string, retryAfterMs: number | undefined): void;
}
