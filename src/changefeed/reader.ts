import {computeRendezvousScore} from '../rates/index.js';

/** An entry of a failure domain that may read the store for the others. */
export type ReaderCandidate = {
	/** `host:port` at which other entries reach it. */
	readonly address: string;
	readonly domain: string;
};

/** Entries of a failure domain from which one reads the store for all: with fewer, their own watches are cheap and quicker. */
const minEntries = 8;

/** Chooses the entry that reads the store for the entries of a failure domain, the same in all of them; `undefined` when each reads it by itself. */
export function chooseReader(domain: string, candidates: readonly ReaderCandidate[]): string | undefined {
	const addresses = candidates.filter(candidate => candidate.domain === domain).map(({address}) => address);
	if (addresses.length < minEntries) {
		return undefined;
	}

	let best = '';
	let highest = -1;
	for (const address of addresses) {
		const score = computeRendezvousScore(domain, address);
		if (score > highest || (score === highest && address < best)) {
			best = address;
			highest = score;
		}
	}

	return best;
}
