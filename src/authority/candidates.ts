import {sortByRank} from '../feed/index.js';

/** How many entries of a failure domain try for its lease at every turn. */
export const candidateCount = 3;
/** Turns between two tries of any other entry: it may be the only one that reaches the store. */
export const fallbackIntervalRounds = 8;

/**
Decides whether an entry tries for its domain's lease at this turn, so that the calls of the store don't grow with the
number of entries. `heard` names the live entries that this one heard from, `turn` counts its turns from 0.

@example
```
isTrying({domain: 'kigali-1', vm: 'vm-3', heard: ['vm-1', 'vm-2'], turn: 0}); // true: one of three
```
*/
export function isLeaseCandidate({domain, vm, liveVms, round}: {
	readonly domain: string;
	readonly vm: string;
	readonly liveVms: readonly string[];
	readonly round: number;
}): boolean {
	const ranked = sortByRank(`lease of ${domain}`, [...new Set([...liveVms, vm])]);
	return ranked.indexOf(vm) < candidateCount || round % fallbackIntervalRounds === fallbackIntervalRounds - 1;
}
