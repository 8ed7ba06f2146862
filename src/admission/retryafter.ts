import type {RandomSource} from '../rates/index.js';

const minRetryAfterMs = 250;
const maxRetryAfterMs = 60_000;

/**
Computes when a refused caller should come back, in milliseconds: after the backlog that stood in the way, spread over
as long again, so that those refused together don't return together.
*/
export function computeRetryAfterMs(backlogMs: number, random: RandomSource): number {
	const baseMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, backlogMs));
	return Math.round(baseMs * random.pickBetween(1, 2));
}
