import {isLong} from '../dispatch/index.js';
import type {EngineOutcome, GenerationNeeds} from '../dispatch/index.js';

/** A request for a place where a generation may run. Times are spans from now, in milliseconds, since clocks differ. */
export type PlaceAsk = GenerationNeeds & {
	readonly service: string;
	/** Time left until its answer is late; negative when it is. */
	readonly targetMs: number;
	/** Time left until its answer is of no use. */
	readonly deadlineMs: number;
	/** Time left until its caller leaves without a first byte. */
	readonly patienceMs: number;
	/** Time from a place to the first byte of an answer. */
	readonly serviceMs: number;
	/** Memory of an engine of the service, in tokens. */
	readonly engineTokens: number;
	/** Ids of engines that failed this request. */
	readonly tried: readonly string[];
};

/** Tells whether an ask that got its place now would be answered after its target. */
export function isLate(ask: PlaceAsk): boolean {
	return ask.targetMs < ask.serviceMs;
}

/** Names the kind of an ask: those of one kind find a place or none alike. */
export function formatKind(ask: PlaceAsk): string {
	return `${ask.service} ${isLong(ask) ? 'long' : 'short'} ${isLate(ask) ? 'late' : 'on time'}`;
}

/** The engines of a place, by their ids. */
export type GrantedEngines = {
	/** Reads the prompt; `undefined` when the writer does. */
	readonly reader: string | undefined;
	readonly writer: string;
	/** Has shared parts of the prompt that the engine that reads lacks. */
	readonly keeper: string | undefined;
};

/** A place that is held until it is released. */
export abstract class HeldPlace {
	abstract readonly engines: GrantedEngines;

	/** Tells that the prompt was read, or will not be, and how that ended. */
	abstract onRead(sign: EngineOutcome | undefined): void;

	/** Gives the place up; tells how the writer's part ended. */
	abstract release(sign: EngineOutcome | undefined): void;
}

/** Gives places to requests. */
export abstract class PlaceSource {
	/** Waits for a place. Throws `NotRunError` when the request is refused instead, or `signal` is aborted. */
	abstract acquire(ask: PlaceAsk, signal: AbortSignal): Promise<HeldPlace>;
}
