/** Headroom for uneven load balancing between the entries. */
const imbalanceFactor = 1.25;

/**
Computes the share of a caller's limits, 0 to 1, that one entry may grant: an equal share for each of the live entries, or
the share of all requests that this entry was observed to get, whichever is larger. The rates are in the same unit.
*/
export function computeLocalShare(entries: number, localRate: number, totalRate: number): number {
	const equalShare = 1 / Math.max(1, entries);
	const observedShare = totalRate > 0 ? localRate / totalRate : equalShare;
	return Math.min(1, Math.max(equalShare, observedShare) * imbalanceFactor);
}
