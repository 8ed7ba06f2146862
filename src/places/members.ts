import {computeRendezvousScore} from '../rates/index.js';

/** An entry that may keep places. */
export type PlaceMember = {
	/** `host:port` at which it serves asks. */
	readonly address: string;
	readonly domain: string;
	/** Cores that its VM has; may be a fraction. */
	readonly cores: number;
};

/** Part of the largest room that an entry needs to be among the first choices. */
const roomShare = 0.9;

/**
Lists the entries that keep the places of a service, the first choice first. Callers are spread over the entries of
their failure domain, so an entry of a large domain with much processor has most room beside them; among those that are
alike rendezvous decides, so that all entries agree and services spread.
*/
export function listKeepers(service: string, members: readonly PlaceMember[], count: number): string[] {
	const sizes = new Map<string, number>();
	for (const {domain} of members) {
		sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
	}

	const rooms = members.map(({address, domain, cores}) => ({address, room: cores * (sizes.get(domain) ?? 1), score: computeRendezvousScore(service, address)}));
	const largest = Math.max(...rooms.map(({room}) => room));
	return rooms
		.sort((left, right) => Number(right.room >= largest * roomShare) - Number(left.room >= largest * roomShare)
			|| right.score - left.score
			|| (left.address < right.address ? -1 : 1))
		.slice(0, count)
		.map(({address}) => address);
}
