import {selectOwners} from '../rates/index.js';

/** Cores that an entry needs to be the hub where any has as many: passing 56 reports a second on to 28 entries takes 4% of a core. */
const minHubCores = 0.5;
const minEntries = 2;

/** An entry that may be the hub. */
export type HubCandidate = {
	readonly vm: string;
	/** `host:port` at which it accepts messages. */
	readonly address: string;
	readonly domain: string;
	/** CPU cores of its VM; may be a fraction. */
	readonly cores: number;
};

/** Chooses the address of the entry that passes load reports on in a failure domain; `undefined` where there is nobody to pass them on to. All entries make the same choice. */
export function chooseHub(domain: string, candidates: readonly HubCandidate[]): string | undefined {
	const members = candidates.filter(candidate => candidate.domain === domain);
	if (members.length < minEntries) {
		return undefined;
	}

	const able = members.filter(({cores}) => cores >= minHubCores);
	const [vm] = selectOwners(`load reports ${domain}`, (able.length > 0 ? able : members).map(member => member.vm), 1);
	return members.find(member => member.vm === vm)?.address;
}
