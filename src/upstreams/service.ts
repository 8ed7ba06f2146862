import type {Readable} from 'node:stream';

/** A call of an application service. */
export type ServiceCall = {
	/** Id of the request; the service sends it back in the header `x-request-id`. */
	readonly id: string;
	readonly method: string;
	/** Path and query, as the service receives them. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** Whether the call may be sent more than once. */
	readonly isRepeatable: boolean;
};

/** An answer of an application service. */
export type ServiceAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Readable;
};

/** A connection to a service on which a probe was just answered. */
export abstract class ServiceConnection {
	/**
	Sends the call on this connection, within the current turn of the event loop, and never a second time. Throws `NotRunError` if
	the connection was lost before or the service refused the call as not run, `UnknownOutcomeError` if the call was sent and got no
	answer, and `ForeignAnswerError` if the answer belongs to another request.
	*/
	abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
	/** Returns the connection for reuse, or closes it if it can't be used again. */
	abstract close(): void;
}

/**
An application service. A call that may not be repeated is sent only on a connection from {@link ServiceClient.open}, which is known
to be live. Calls throw `NotRunError`, `UnknownOutcomeError`, `ForeignAnswerError`, and `BrokenAnswerError` if the body ends early.
*/
export abstract class ServiceClient {
	/** Sends a call that may be repeated. Does not retry it. */
	abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
	/** Opens a connection and waits until a probe on it is answered. Throws `NotRunError`. */
	abstract open(signal: AbortSignal): Promise<ServiceConnection>;
	/** Reads the number of calls that the service has in progress. Throws `UnknownOutcomeError`. */
	abstract readLoad(): Promise<number>;
}
