import {GossipHub} from '../feed/index.js';
import {computeTextHash} from '../deployment/index.js';
import {Membership} from '../membership/index.js';
import {TcpPeerNetwork} from '../peers/index.js';
import type {KeptParts} from './configuration.js';
import {stopPhase} from './stop.js';
import type {GracefulStop} from './stop.js';

/** What the feed's parts are made from. */
export type FeedParts = KeptParts & {readonly stop: GracefulStop};

/** The running feed of an entry. */
export type EntryFeed = {readonly membership: Membership; readonly hub: GossipHub};

/** Publishes this entry's standing and starts the feed to the others; a stop ends both last. */
export async function startFeed(parts: FeedParts): Promise<EntryFeed> {
	const membership = createMembership(parts);
	const hub = createHub(parts, membership);
	membership.start();
	await hub.start();
	parts.stop.addLastTask({
		name: 'leave the other entries',
		async run() {
			membership.publish();
			membership.stop();
			await hub.stop();
		},
	});
	return {membership, hub};
}

/** Makes this entry's membership over the parts. */
export function createMembership(parts: FeedParts): Membership {
	return new Membership({
		...parts.settings,
		facts: parts.facts,
		timers: parts.timers,
		history: parts.history,
		vms: parts.vms,
		router: parts.router,
		isLeaving: () => parts.stop.phase !== stopPhase.serving,
		getConfiguration: () => parts.keeper.getVersion(),
		isUsed(id) {
			const upstream = parts.getDeployment()?.upstreams.find(upstream => upstream.id === id);
			return upstream === undefined || upstream.domain === parts.settings.domain;
		},
	});
}

/** Makes the feed between this entry and the others, not yet started. */
export function createHub(parts: FeedParts, membership: Membership): GossipHub {
	return new GossipHub({
		vm: parts.settings.vm,
		domain: parts.settings.domain,
		peer: parts.settings.peer,
		seeds: parts.settings.seeds,
		facts: parts.facts,
		network: new TcpPeerNetwork(parts.metrics),
		timers: parts.timers,
		metrics: parts.metrics,
		listNeighbors: () => membership.listNeighbors(),
		isHashValid: (text, hash) => computeTextHash(text) === hash,
	});
}
