import type {RandomSource} from '../rates/index.js';

const shortestMs = 250;
const longestMs = 60_000;

/**
Computes when a refused caller should come back, in milliseconds: after the backlog that stood in the way, spread over
as long again, so that those refused together don't return together.
*/
export function computeReturnMs(backlogMs: number, random: RandomSource): number {
	const base = Math.min(longestMs, Math.max(shortestMs, backlogMs));
	return Math.round(base * random.pickBetween(1, 2));
}
