import {GossipHub} from '../feed/index.js';
import {computeTextHash} from '../deployment/index.js';
import {Membership} from '../membership/index.js';
import {TcpPeerNetwork} from '../peers/index.js';
import type {ConfiguredEntryDependencies} from './configuration.js';
import {stopPhase} from './stop.js';
import type {GracefulStop} from './stop.js';

/** What gossip and membership are created from. */
export type GossipDependencies = ConfiguredEntryDependencies & {readonly stop: GracefulStop};

/** Running gossip of an entry with the membership that is derived from it. */
export type EntryGossip = {readonly membership: Membership; readonly hub: GossipHub};

/** Publishes this entry as a member and starts gossip with the other entries. Adds the shutdown task that publishes a last time and ends both. */
export async function startGossip(dependencies: GossipDependencies): Promise<EntryGossip> {
	const membership = createMembership(dependencies);
	const hub = createHub(dependencies, membership);
	membership.start();
	await hub.start();
	dependencies.stop.addShutdownTask({
		name: 'leave the other entries',
		async run() {
			membership.publish();
			membership.stop();
			await hub.stop();
		},
	});
	return {membership, hub};
}

/** Creates the membership of this entry, not yet started. */
export function createMembership(dependencies: GossipDependencies): Membership {
	return new Membership({
		...dependencies.settings,
		facts: dependencies.facts,
		timers: dependencies.timers,
		history: dependencies.history,
		vms: dependencies.vms,
		router: dependencies.router,
		isLeaving: () => dependencies.stop.phase !== stopPhase.serving,
		getConfiguration: () => dependencies.configuration.getVersion(),
		isUsed(id) {
			const upstream = dependencies.getDeployment()?.upstreams.find(upstream => upstream.id === id);
			return upstream === undefined || upstream.domain === dependencies.settings.domain;
		},
	});
}

/** Creates the gossip hub of this entry, not yet started. */
export function createHub(dependencies: GossipDependencies, membership: Membership): GossipHub {
	return new GossipHub({
		vm: dependencies.settings.vm,
		domain: dependencies.settings.domain,
		peer: dependencies.settings.peer,
		seeds: dependencies.settings.seeds,
		facts: dependencies.facts,
		network: new TcpPeerNetwork(dependencies.metrics),
		timers: dependencies.timers,
		metrics: dependencies.metrics,
		listNeighbors: () => membership.listNeighbors(),
		isHashValid: (text, hash) => computeTextHash(text) === hash,
	});
}
