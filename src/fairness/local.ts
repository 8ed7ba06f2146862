/** Room left for the balancer's unevenness. */
const slack = 1.25;

/**
Computes the part of a caller's limit that one entry may give out: an equal part for each live entry, or the part of
all requests that this entry was seen to get, when that is more.
*/
export function computeLocalShare(entries: number, ownRate: number, totalRate: number): number {
	const equal = 1 / Math.max(1, entries);
	const observed = totalRate > 0 ? ownRate / totalRate : equal;
	return Math.min(1, Math.max(equal, observed) * slack);
}
