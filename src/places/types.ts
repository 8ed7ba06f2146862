import {isLong} from '../dispatch/index.js';
import type {EngineSign, GenerationNeeds} from '../dispatch/index.js';

/** A request for a place where a generation may run. Times are spans from now, in milliseconds, since clocks differ. */
export type ReservationRequest = GenerationNeeds & {
	readonly service: string;
	/** Time left until its answer is late; negative when it is. */
	readonly targetMs: number;
	/** Time left until its answer is of no use. */
	readonly deadlineMs: number;
	/** Time left until its caller leaves without a first byte. */
	readonly firstByteTimeoutMs: number;
	/** Time from a place to the first byte of an answer. */
	readonly serviceMs: number;
	/** Memory of an engine of the service, in tokens. */
	readonly kvCapacityTokens: number;
	/** Ids of engines that failed this request. */
	readonly excludedEngines: readonly string[];
};

/** Tells whether an ask that got its place now would be answered after its target. */
export function isLate(request: ReservationRequest): boolean {
	return request.targetMs < request.serviceMs;
}

/** Names the kind of an ask: those of one kind find a place or none alike. */
export function formatRequestKind(request: ReservationRequest): string {
	return `${request.service} ${isLong(request) ? 'long' : 'short'} ${isLate(request) ? 'late' : 'on time'}`;
}

/** The engines of a place, by their ids. */
export type ReservedEngines = {
	/** Reads the prompt; `undefined` when the writer does. */
	readonly prefillEngine: string | undefined;
	readonly decodeEngine: string;
	/** Has shared parts of the prompt that the engine that reads lacks. */
	readonly prefixSource: string | undefined;
};

/** A place that is held until it is released. */
export abstract class Reservation {
	abstract readonly engines: ReservedEngines;

	/** Tells that the prompt was read, or will not be, and how that ended. */
	abstract onPrefillEnd(outcome: EngineSign | undefined): void;

	/** Gives the place up; tells how the writer's part ended. */
	abstract release(outcome: EngineSign | undefined): void;
}

/** Gives places to requests. */
export abstract class ReservationProvider {
	/** Waits for a place. Throws `NotRunError` when the request is refused instead, or `signal` is aborted. */
	abstract acquire(request: ReservationRequest, signal: AbortSignal): Promise<Reservation>;
}
