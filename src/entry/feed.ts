import {FeedHub} from '../feed/index.js';
import type {PeerNetwork} from '../feed/index.js';
import {Membership} from '../membership/index.js';
import {TcpNetwork} from '../peers/index.js';
import type {EntryParts} from './parts.js';

/** What the feed's parts are made from. */
export type FeedParts = Pick<EntryParts, 'settings' | 'timers' | 'facts' | 'metrics' | 'history' | 'router' | 'vms' | 'getDeployment'>;

/** Makes this entry's membership over the parts. */
export function createMembership(parts: FeedParts): Membership {
	return new Membership({
		...parts.settings,
		facts: parts.facts,
		timers: parts.timers,
		history: parts.history,
		vms: parts.vms,
		router: parts.router,
		getConfiguration: () => parts.facts.get('configuration', '')?.version ?? 0,
		isNear(id) {
			const upstream = parts.getDeployment()?.upstreams.find(upstream => upstream.id === id);
			return upstream === undefined || upstream.domain === parts.settings.domain;
		},
	});
}

/** Makes the feed between this entry and the others, not yet started. */
export function createHub(parts: FeedParts, membership: Membership, options: {
	readonly isText: (text: string, hash: string) => boolean;
	readonly seeds: readonly string[];
	readonly network?: PeerNetwork;
}): FeedHub {
	return new FeedHub({
		vm: parts.settings.vm,
		domain: parts.settings.domain,
		peer: parts.settings.peer,
		seeds: options.seeds,
		facts: parts.facts,
		network: options.network ?? new TcpNetwork(parts.metrics),
		timers: parts.timers,
		metrics: parts.metrics,
		listNeighbors: () => membership.listNeighbors(),
		isText: options.isText,
	});
}
