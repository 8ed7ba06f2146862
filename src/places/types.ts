import {isLong} from '../dispatch/index.js';
import type {EngineOutcome, GenerationNeeds, StreamPace} from '../dispatch/index.js';
import type {LimitedEngine} from '../requestlimits/index.js';

/**
A request to reserve engine capacity for one generation. Times are durations from now, in milliseconds, since the clocks of
entries differ.
*/
export type ReservationRequest = GenerationNeeds & {
	readonly service: string;
	/** Time left until its answer counts as late; negative once it does. */
	readonly targetMs: number;
	/** Time left until its answer is of no use. */
	readonly deadlineMs: number;
	/** Time left until its caller disconnects, unless it has received a first byte. */
	readonly firstByteTimeoutMs: number;
	/** Estimated time from the grant to the first byte of the answer. */
	readonly serviceMs: number;
	/** Ids of engines that may not be chosen: they failed this request, or the requesting entry sends them no work at present. */
	readonly excludedEngines: readonly string[];
	/** The customer whose request it is, in at most 64 characters; `undefined` where requests have none. */
	readonly customer?: string;
	/** The customer's priority, or that of the route where it has none; 0 is the most urgent. Sent where there is a customer. */
	readonly priority?: number;
};

/** Returns whether a request that is granted now would be answered after its target. */
export function isLate(request: ReservationRequest): boolean {
	return request.targetMs < request.serviceMs;
}

/** Formats the kind of a request as a key. Requests of one kind are granted or refused under the same conditions. */
export function formatRequestKind(request: ReservationRequest): string {
	return `${request.service} ${isLong(request) ? 'long' : 'short'} ${isLate(request) ? 'late' : 'on time'}`;
}

/** Ids of the engines of a reservation. */
export type ReservedEngines = {
	/** Computes the prompt's KV cache; `undefined` when the decode engine does so itself. */
	readonly prefillEngine: string | undefined;
	/** Generates the answer. */
	readonly decodeEngine: string;
	/** Holds prefix blocks that the prefilling engine lacks and fetches from it; `undefined` when no engine holds more of them. */
	readonly prefixSource: string | undefined;
	/** Expected time from the reservation to the first token, in milliseconds. */
	readonly firstTokenMs: number;
};

/** Capacity on engines that is held for one request until it is released. */
export abstract class Reservation {
	abstract readonly engines: ReservedEngines;

	/**
	Frees the capacity that is reserved for the prefill. Called when the prefill has ended, with its outcome, or when it will
	not run, with `undefined`. Further calls have no effect.
	*/
	abstract onPrefillEnd(outcome: EngineOutcome | undefined): void;

	/** Records how fast the decode engine sent the events of the answer; called before the release. */
	abstract onPace(pace: StreamPace): void;

	/** Records that the decode engine sends nothing for the request, or that it goes on after that. */
	abstract onSilence(isSilent: boolean): void;

	/**
	Releases the reservation. `outcome` is how the send to the decode engine ended, `undefined` when that says nothing about
	the engine. Further calls have no effect.
	*/
	abstract release(outcome: EngineOutcome | undefined): void;
}

/** Answer to a request for a permit. */
export type PermitAnswer = {
	readonly isGranted: boolean;
	/** Time after which another permit may be asked for, in milliseconds. */
	readonly waitMs: number;
};

/** Grants permits for single requests to engines that name a limit, to requests that need no reservation. */
export abstract class PermitProvider {
	/** Whether the engine names a limit, so that a request to it needs a permit. */
	abstract isLimited(engine: LimitedEngine): boolean;

	/** Computes for how much longer no permit can be had for an engine, in milliseconds; 0 when one may be asked for, or none is needed. */
	abstract computeWaitMs(engine: LimitedEngine): number;

	/** Asks for a permit to send one request. Returns whether it was granted; another engine has to be tried otherwise. */
	abstract takePermit(engine: LimitedEngine): Promise<boolean>;

	/** Computes the time after which a request that none of the engines could take may return, in milliseconds, spread over those that are refused; it can return within `maxReturnMs`. */
	abstract scheduleReturnMs(engines: readonly LimitedEngine[], maxReturnMs: number): number;

	/** Counts a request that is sent without a reservation: those just before a limit is named count against it. */
	abstract onSend(engine: LimitedEngine): void;
}

/** Grants reservations to requests. */
export abstract class ReservationProvider {
	/** Waits for a reservation. Throws `NotRunError` when the request is refused or `signal` is aborted. */
	abstract acquire(request: ReservationRequest, signal: AbortSignal): Promise<Reservation>;

	/** Connects to the entries that may grant reservations of a service, without a request, so that all know the same quarantines. */
	abstract connect(service: string): void;
}
