import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import type {Work} from '../routing/index.js';

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

/**
Works out the limits for one attempt. A stream that is silent for this long is taken for dead; half of the time
that is left to the deadline stays for the attempt after it.
*/
export function computeLimits(service: Pick<ModelService, 'firstTokenMs' | 'betweenTokensMs'>, role: EngineRole | undefined, work: Work, now: number): StreamLimits {
	const left = Math.max(0, work.due - now);
	const first = service.firstTokenMs * firstEventFactor[role ?? engineRole.mixed];
	const between = service.betweenTokensMs * betweenEventsFactor;
	return {
		firstEventMs: Math.max(shortestFirstEventMs, Math.min(first, left / 2)),
		betweenEventsMs: Math.max(shortestBetweenEventsMs, between),
	};
}
