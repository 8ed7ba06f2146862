import {computeScore} from '../rates/index.js';

/** An entry that may keep places. */
export type AllocatorCandidate = {
	/** `host:port` at which it serves asks. */
	readonly address: string;
	readonly domain: string;
	/** Cores that its VM has; may be a fraction. */
	readonly cores: number;
};

/** Part of the largest room that an entry needs to be among the first choices. */
const minHeadroomShare = 0.9;

/**
Lists the entries that keep the places of a service, the first choice first. Callers are spread over the entries of
their failure domain, so an entry of a large domain with much processor has most room beside them; among those that are
alike rendezvous decides, so that all entries agree and services spread.
*/
export function listAllocators(service: string, candidates: readonly AllocatorCandidate[], count: number): string[] {
	const domainSizes = new Map<string, number>();
	for (const {domain} of candidates) {
		domainSizes.set(domain, (domainSizes.get(domain) ?? 0) + 1);
	}

	const ranked = candidates.map(({address, domain, cores}) => ({address, headroom: cores * (domainSizes.get(domain) ?? 1), score: computeScore(service, address)}));
	const maxHeadroom = Math.max(...ranked.map(({headroom}) => headroom));
	return ranked
		.sort((left, right) => Number(right.headroom >= maxHeadroom * minHeadroomShare) - Number(left.headroom >= maxHeadroom * minHeadroomShare)
			|| right.score - left.score
			|| (left.address < right.address ? -1 : 1))
		.slice(0, count)
		.map(({address}) => address);
}
