import type {Readable} from 'node:stream';

/** A call of an application service. */
export type ServiceCall = {
	readonly id: string;
	readonly method: string;
	/** Path with its query, as the service sees it. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** Whether the call may be repeated. */
	readonly isRepeatable: boolean;
};

/** An answer of an application service. */
export type ServiceAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Readable;
};

/** One connection to a service that has just answered a probe. */
export abstract class ServiceConnection {
	/**
	Hands the call to this very connection, in this turn of the loop; it never goes out a second time.
	Throws `NotRunError` when the connection was lost before, or the service says so; `UnknownOutcomeError`
	when the call was handed over and no answer came; `ForeignAnswerError`.
	*/
	abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
	/** Gives the connection back, or closes it when it can't be used again. */
	abstract close(): void;
}

/**
An application service. A call that may not be repeated goes out only on a connection known to be live.
Errors: `NotRunError`, `UnknownOutcomeError`, `BrokenAnswerError` (the body stops early), `ForeignAnswerError`.
*/
export abstract class ServiceClient {
	/** Makes one call that may be repeated, once. */
	abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
	/** Opens a connection and sees it answer. Throws `NotRunError`. */
	abstract open(signal: AbortSignal): Promise<ServiceConnection>;
	/** Reads the number of calls in progress. */
	abstract readLoad(): Promise<number>;
}
