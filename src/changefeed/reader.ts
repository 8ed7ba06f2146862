import {computeRendezvousScore} from '../rates/index.js';

/** An entry of a failure domain that may read the store for the others. */
export type ReaderCandidate = {
	readonly vm: string;
	/** `host:port` at which other entries reach it. */
	readonly address: string;
	readonly domain: string;
};

/** Entries of a failure domain from which one reads the store for all: with fewer, their own watches are cheap and quicker. */
const minEntries = 8;

/** Chooses the entry that reads the store for the entries of a failure domain, the same in all of them; `undefined` when each reads it by itself. */
export function chooseReader(domain: string, candidates: readonly ReaderCandidate[]): string | undefined {
	const members = candidates.filter(candidate => candidate.domain === domain);
	if (members.length < minEntries) {
		return undefined;
	}

	let best: ReaderCandidate | undefined;
	let highest = -1;
	for (const member of members) {
		const score = computeRendezvousScore(domain, member.vm);
		if (!best || score > highest || (score === highest && member.vm < best.vm)) {
			best = member;
			highest = score;
		}
	}

	return best?.address;
}
