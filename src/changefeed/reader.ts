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

/** Number of entries of each failure domain that are asked where none reads the store for the others. */
const fallbacksPerDomain = 2;
/** Maximum number of entries that are tried in a row. */
const maxFallbacks = 6;

/**
Lists the entries that an entry asks for news of the store when it can't reach the store itself, the preferred one first: those of its own failure domain, then
others, as a domain may have lost the store as a whole. Entries have different preferences, so that they don't all ask the same one.
*/
export function listFallbackReaders(localEntry: ReaderCandidate, candidates: readonly ReaderCandidate[]): readonly string[] {
	const others = candidates.filter(({vm}) => vm !== localEntry.vm);
	const domains = [...new Set(others.map(({domain}) => domain))]
		.sort((left, right) => compareDomains(localEntry, left, right));
	const listOfDomain = (domain: string): readonly string[] => {
		const reader = chooseReader(domain, candidates);
		const members = others.filter(other => other.domain === domain)
			.sort((left, right) => computeRendezvousScore(localEntry.vm, right.vm) - computeRendezvousScore(localEntry.vm, left.vm))
			.map(({address}) => address);
		return reader === undefined || reader === localEntry.address ? members.slice(0, fallbacksPerDomain) : [reader];
	};

	return domains.flatMap(domain => listOfDomain(domain)).slice(0, maxFallbacks);
}

/** Compares two failure domains by an entry's preference: its own goes first. */
function compareDomains({vm, domain}: ReaderCandidate, left: string, right: string): number {
	if (left === domain || right === domain) {
		return left === domain ? -1 : 1;
	}

	return computeRendezvousScore(vm, right) - computeRendezvousScore(vm, left);
}
