import {sortByRank} from './rendezvous.js';

/** Another entry, as a possible target of a connection. */
export type Neighbor = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` at which it accepts connections from other entries. */
	readonly peer: string;
	/** Whether a recent fact shows that it is running. */
	readonly isLive: boolean;
};

/** Number of entries of a failure domain, its gateways, that each keep a connection to another given domain. */
const gatewaysPerDomain = 2;

/**
Lists the entries that the `local` entry opens connections to:

- its successor on a ring of all entries of its failure domain, which keeps the domain connected;
- one more entry of its domain by rendezvous rank, which keeps paths short;
- one entry of each other domain for which `local` is a gateway.

An entry for which `isUsable` is false, such as one in backoff after a failed connection, is skipped for the next in order.
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
