import {sortByRank} from '../feed/index.js';

/** Number of entries of a failure domain that try to acquire its lease in every round. */
export const candidateCount = 3;
/** Number of rounds after which all other entries try once too: one of them may be the only entry that reaches the store. */
export const fallbackIntervalRounds = 8;

/**
Whether an entry tries to acquire its domain's lease in this round. Most rounds have only a few candidates, which keeps the
number of store calls from growing with the number of entries. `liveVms` are the VMs of the live entries that this entry
knows, `round` counts its rounds from 0.

@example
```
isLeaseCandidate({domain: 'kigali-1', vm: 'vm-3', liveVms: ['vm-1', 'vm-2'], round: 0}); // true: one of three candidates
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
