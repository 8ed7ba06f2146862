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
const gatewaysPerDomain = 2;

/**
Lists the entries that `own` opens connections to: the next one on the failure domain's ring, which keeps the domain
connected; one more by rendezvous rank, which keeps ways short; and, as one of its domain's few gates, one of another
domain. Whoever is not usable, as after a failed attempt, is passed over for the next in order.
*/
export function listTargets(
	local: {readonly vm: string; readonly domain: string},
	neighbors: readonly Neighbor[],
	isUsable: (vm: string) => boolean,
): Neighbor[] {
	const others = neighbors.filter(neighbor => neighbor.vm !== local.vm);
	const usableByVm = new Map(others.filter(neighbor => isUsable(neighbor.vm)).map(neighbor => [neighbor.vm, neighbor]));
	const sameDomainVms = [...usableByVm.values()].filter(neighbor => neighbor.domain === local.domain).map(neighbor => neighbor.vm);
	const chosenVms = new Set<string>();
	const ring = sortByRank(local.domain, [...sameDomainVms, local.vm]);
	const ringSuccessor = ring[(ring.indexOf(local.vm) + 1) % ring.length];
	if (ringSuccessor !== undefined && ringSuccessor !== local.vm) {
		chosenVms.add(ringSuccessor);
	}

	const shortcut = sortByRank(local.vm, sameDomainVms).find(vm => !chosenVms.has(vm));
	if (shortcut !== undefined) {
		chosenVms.add(shortcut);
	}

	for (const gatewayTarget of listGatewayTargets(local, others, usableByVm)) {
		chosenVms.add(gatewayTarget);
	}

	return [...chosenVms].map(vm => usableByVm.get(vm)!);
}

function listGatewayTargets(
	local: {readonly vm: string; readonly domain: string},
	others: readonly Neighbor[],
	usableByVm: ReadonlyMap<string, Neighbor>,
): string[] {
	const liveVms = others.filter(neighbor => neighbor.domain === local.domain && neighbor.isLive).map(neighbor => neighbor.vm);
	const domains = new Set(others.map(neighbor => neighbor.domain).filter(domain => domain !== local.domain));
	return [...domains].flatMap(domain => {
		if (!sortByRank(`gate/${domain}`, [...liveVms, local.vm]).slice(0, gatewaysPerDomain).includes(local.vm)) {
			return [];
		}

		const candidateVms = [...usableByVm.values()].filter(neighbor => neighbor.domain === domain).map(neighbor => neighbor.vm);
		return sortByRank(`gate/${local.vm}`, candidateVms).slice(0, 1);
	});
}
