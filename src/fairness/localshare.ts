/** Room left for the balancer's unevenness. */
const imbalanceFactor = 1.25;

/**
Computes the part of a caller's limit that one entry may give out: an equal part for each live entry, or the part of
all requests that this entry was seen to get, when that is more.
*/
export function computeLocalShare(entries: number, localRate: number, totalRate: number): number {
	const equalShare = 1 / Math.max(1, entries);
	const observedShare = totalRate > 0 ? localRate / totalRate : equalShare;
	return Math.min(1, Math.max(equalShare, observedShare) * imbalanceFactor);
}
