import type {RandomSource} from '../rates/index.js';

const minRetryAfterMs = 250;
const maxRetryAfterMs = 60_000;

/**
Computes the time after which a refused caller should retry, in milliseconds: between once and twice the backlog that it
was refused for, at random, so that callers refused together don't return together.
*/
export function computeRetryAfterMs(backlogMs: number, random: RandomSource): number {
	const baseMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, backlogMs));
	return Math.round(baseMs * random.pickBetween(1, 2));
}
