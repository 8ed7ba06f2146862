import {sortByRank} from './rendezvous.js';

/** An entry that a connection could be opened to. */
export type Neighbor = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` of its side for other entries. */
	readonly peer: string;
	/** Whether it was heard from lately. */
	readonly isLive: boolean;
};

/** Entries of one failure domain that keep a connection to each other domain. */
const gatesPerDomain = 2;

/**
Lists the entries that `own` opens connections to: the next one on the failure domain's ring, which keeps the domain
connected; one more by rendezvous rank, which keeps ways short; and, as one of its domain's few gates, one of another
domain. Whoever is not usable, as after a failed attempt, is passed over for the next in order.
*/
export function listTargets(
	own: {readonly vm: string; readonly domain: string},
	known: readonly Neighbor[],
	isUsable: (vm: string) => boolean,
): Neighbor[] {
	const others = known.filter(neighbor => neighbor.vm !== own.vm);
	const usable = new Map(others.filter(neighbor => isUsable(neighbor.vm)).map(neighbor => [neighbor.vm, neighbor]));
	const near = [...usable.values()].filter(neighbor => neighbor.domain === own.domain).map(neighbor => neighbor.vm);
	const chosen = new Set<string>();
	const ring = sortByRank(own.domain, [...near, own.vm]);
	const next = ring[(ring.indexOf(own.vm) + 1) % ring.length];
	if (next !== undefined && next !== own.vm) {
		chosen.add(next);
	}

	const another = sortByRank(own.vm, near).find(vm => !chosen.has(vm));
	if (another !== undefined) {
		chosen.add(another);
	}

	for (const gate of listGateTargets(own, others, usable)) {
		chosen.add(gate);
	}

	return [...chosen].map(vm => usable.get(vm)!);
}

function listGateTargets(
	own: {readonly vm: string; readonly domain: string},
	others: readonly Neighbor[],
	usable: ReadonlyMap<string, Neighbor>,
): string[] {
	const live = others.filter(neighbor => neighbor.domain === own.domain && neighbor.isLive).map(neighbor => neighbor.vm);
	const domains = new Set(others.map(neighbor => neighbor.domain).filter(domain => domain !== own.domain));
	return [...domains].flatMap(domain => {
		if (!sortByRank(`gate/${domain}`, [...live, own.vm]).slice(0, gatesPerDomain).includes(own.vm)) {
			return [];
		}

		const far = [...usable.values()].filter(neighbor => neighbor.domain === domain).map(neighbor => neighbor.vm);
		return sortByRank(`gate/${own.vm}`, far).slice(0, 1);
	});
}
