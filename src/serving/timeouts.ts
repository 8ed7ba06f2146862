import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import type {Work} from '../routing/index.js';

/** How long an answer may stay silent, in milliseconds. */
export type StreamTimeouts = {
	readonly firstEventTimeoutMs: number;
	readonly betweenEventsTimeoutMs: number;
};

/** Engines of a role that reads prompts slowly get more time to the first token. */
const firstEventFactors: Readonly<Record<EngineRole, number>> = {
	[engineRole.prefill]: 2, [engineRole.mixed]: 3, [engineRole.decode]: 4,
};
const betweenEventsFactor = 20;
const minFirstEventTimeoutMs = 500;
const minBetweenEventsTimeoutMs = 500;
/** An engine that answers a probe is alive: it gets this much more time before the request is taken from it. */
const resumeFactor = 5;
const maxRemainingShare = 0.5;

/** What the limits of one attempt depend on. */
export type TimeoutInput = {
	readonly service: Pick<ModelService, 'firstTokenMs' | 'betweenTokensMs'>;
	readonly role: EngineRole | undefined;
	readonly request: Pick<Work, 'due'>;
	/** On the monotonic clock, in milliseconds. */
	readonly now: number;
	/** Whether the engine was asked again after silence, having answered a probe. */
	readonly isResume: boolean;
};

/**
Works out the limits for one attempt. A connection that is silent for this long is given up for a new one, which
costs the engine nothing; to take the request from an engine that is alive costs its work, so that takes longer.
Half of the time that is left to the deadline stays for the attempt after it.
*/
export function computeStreamTimeouts({service, role, request, now, isResume}: TimeoutInput): StreamTimeouts {
	const remainingMs = Math.max(0, request.due - now);
	const factor = isResume ? resumeFactor : 1;
	const firstEventMs = service.firstTokenMs * firstEventFactors[role ?? engineRole.mixed] * factor;
	const betweenEventsMs = service.betweenTokensMs * betweenEventsFactor * factor;
	return {
		firstEventTimeoutMs: Math.max(minFirstEventTimeoutMs, Math.min(firstEventMs, remainingMs * maxRemainingShare)),
		betweenEventsTimeoutMs: Math.max(minBetweenEventsTimeoutMs, betweenEventsMs),
	};
}
