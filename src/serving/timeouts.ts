import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import type {RoutingRequest} from '../routing/index.js';

/** How long an engine's answer may stay silent before the attempt fails, in milliseconds. */
export type StreamTimeouts = {
	readonly firstEventTimeoutMs: number;
	readonly betweenEventsTimeoutMs: number;
};

/** Multiples of the service's `firstTokenMs`. Engines of a role that prefills slowly get more time to the first token. */
const firstEventFactors: Readonly<Record<EngineRole, number>> = {
	[engineRole.prefill]: 2, [engineRole.mixed]: 3, [engineRole.decode]: 4,
};
/** Multiple of the service's `betweenTokensMs`. */
const betweenEventsFactor = 20;
const minFirstEventTimeoutMs = 500;
const minBetweenEventsTimeoutMs = 500;
/** Multiplies the timeouts of a resumed request: an engine that answered a probe is alive, and gets more time before the request is moved. */
const resumeFactor = 5;
/** Largest share of the time left to the deadline that an attempt may wait for the first event. */
const maxRemainingShare = 0.5;

/** What the timeouts of one attempt depend on. */
export type TimeoutInput = {
	readonly service: Pick<ModelService, 'firstTokenMs' | 'betweenTokensMs'>;
	readonly role: EngineRole | undefined;
	readonly request: Pick<RoutingRequest, 'deadlineAt'>;
	/** Monotonic, in milliseconds. */
	readonly now: number;
	/** Whether the request is sent again to an engine that may still hold it, as after silence if the engine answered a probe. */
	readonly isResume: boolean;
};

/**
Computes the timeouts of one attempt. After the first timeout, the request is resumed on a new connection if the engine
answers a probe; that costs the engine nothing. A resumed request has longer timeouts, since moving it to another engine
discards the work of one that is alive. Half of the time left to the deadline is kept for the next attempt.
*/
export function computeStreamTimeouts({service, role, request, now, isResume}: TimeoutInput): StreamTimeouts {
	const remainingMs = Math.max(0, request.deadlineAt - now);
	const factor = isResume ? resumeFactor : 1;
	const firstEventMs = service.firstTokenMs * firstEventFactors[role ?? engineRole.mixed] * factor;
	const betweenEventsMs = service.betweenTokensMs * betweenEventsFactor * factor;
	return {
		firstEventTimeoutMs: Math.max(minFirstEventTimeoutMs, Math.min(firstEventMs, remainingMs * maxRemainingShare)),
		betweenEventsTimeoutMs: Math.max(minBetweenEventsTimeoutMs, betweenEventsMs),
	};
}
