import {computeRendezvousScore} from '../rates/index.js';

/** An entry that may allocate for the others. */
export type AllocatorCandidate = {
	/** Its VM. */
	readonly vm: string;
	/** `host:port` at which it accepts reservation requests. */
	readonly address: string;
	readonly domain: string;
	/** CPU cores of its VM; may be a fraction. */
	readonly cores: number;
};

/** Share of the largest headroom that an entry needs to be ranked before the others. */
const minHeadroomShare = 0.9;

/**
Lists the addresses of the entries that allocate for a service, the first choice first. Callers are spread over the entries
of their failure domain, so an entry with many cores in a large domain has the most CPU time left beside its callers. Among
entries with similar headroom rendezvous hashing decides, so that all entries make the same choice and the services spread
over the entries.
*/
export function listAllocators(service: string, candidates: readonly AllocatorCandidate[], count: number): string[] {
	const domainSizes = new Map<string, number>();
	for (const {domain} of candidates) {
		domainSizes.set(domain, (domainSizes.get(domain) ?? 0) + 1);
	}

	const ranked = candidates.map(({vm, address, domain, cores}) => ({
		vm, address, headroom: cores * (domainSizes.get(domain) ?? 1), score: computeRendezvousScore(service, vm),
	}));
	const maxHeadroom = Math.max(...ranked.map(({headroom}) => headroom));
	return ranked
		.sort((left, right) => Number(right.headroom >= maxHeadroom * minHeadroomShare) - Number(left.headroom >= maxHeadroom * minHeadroomShare)
			|| right.score - left.score
			|| (left.vm < right.vm ? -1 : 1))
		.slice(0, count)
		.map(({address}) => address);
}
