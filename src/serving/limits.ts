import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import type {RoutingRequest} from '../routing/index.js';

/** How long an answer may stay silent, in milliseconds. */
export type StreamLimits = {
	readonly firstEventMs: number;
	readonly betweenEventsMs: number;
};

/** Engines of a role that reads prompts slowly get more time to the first token. */
const firstEventFactor: Readonly<Record<EngineRole, number>> = {
	[engineRole.prefill]: 2, [engineRole.mixed]: 3, [engineRole.decode]: 4,
};
const betweenEventsFactor = 20;
const shortestFirstEventMs = 500;
const shortestBetweenEventsMs = 500;
/** An engine that answers a probe is alive: it gets this much more time before the request is taken from it. */
const patienceFactor = 5;
const shareOfTimeLeft = 0.5;

/** What the limits of one attempt depend on. */
export type LimitSource = {
	readonly service: Pick<ModelService, 'firstTokenMs' | 'betweenTokensMs'>;
	readonly role: EngineRole | undefined;
	readonly work: Pick<RoutingRequest, 'due'>;
	/** On the monotonic clock, in milliseconds. */
	readonly now: number;
	/** Whether the engine was asked again after silence, having answered a probe. */
	readonly isAgain: boolean;
};

/**
Works out the limits for one attempt. A connection that is silent for this long is given up for a new one, which
costs the engine nothing; to take the request from an engine that is alive costs its work, so that takes longer.
Half of the time that is left to the deadline stays for the attempt after it.
*/
export function computeLimits({service, role, work, now, isAgain}: LimitSource): StreamLimits {
	const left = Math.max(0, work.due - now);
	const patience = isAgain ? patienceFactor : 1;
	const first = service.firstTokenMs * firstEventFactor[role ?? engineRole.mixed] * patience;
	const between = service.betweenTokensMs * betweenEventsFactor * patience;
	return {
		firstEventMs: Math.max(shortestFirstEventMs, Math.min(first, left * shareOfTimeLeft)),
		betweenEventsMs: Math.max(shortestBetweenEventsMs, between),
	};
}
