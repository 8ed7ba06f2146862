import {sortByRank} from '../feed/index.js';

/**
Chooses the member that polls an upstream's load for its failure domain, by rendezvous hashing: entries that know the same
members choose the same one, and a member that joins or leaves changes the choice only for the upstreams that it polls.
Returns `undefined` without members. While entries know different members, two may poll the same upstream, or none for a
short time; both are harmless.

@example
```
if (choosePoller('engine-1', membership.listLive(domain).map(member => member.vm)) === settings.vm) {
	await readLoad();
}
```
*/
export function choosePoller(upstream: string, members: readonly string[]): string | undefined {
	return sortByRank(upstream, members)[0];
}
