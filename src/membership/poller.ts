import {sortByRank} from '../feed/index.js';

/**
Chooses the member that reads an upstream's load for its failure domain, by rendezvous hash: everybody who knows the
same members names the same one, and a member that comes or goes moves no other upstream. `undefined` without members.
During a change of members two may read the same upstream, or none for a moment; both do no harm.

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
