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

/**
An application service. A call that may not be repeated goes out only on a connection known to be live.
Errors: `NotRunError`, `UnknownOutcomeError`, `BrokenAnswerError` (the body stops early), `ForeignAnswerError`.
*/
export abstract class ServiceClient {
	/** Makes one call, once. */
	abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
	/** Reads the number of calls in progress. */
	abstract readLoad(): Promise<number>;
}
