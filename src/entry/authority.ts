import {randomUUID} from 'node:crypto';
import {Authority} from '../authority/index.js';
import {FixedRolePlanner} from '../planning/index.js';
import type {RolePlanner} from '../planning/index.js';
import {HttpEngine} from '../upstreams/index.js';
import type {EntryDependencies} from './dependencies.js';
import type {GracefulStop} from './stop.js';

/**
Starts the authority of this entry, which competes with the other entries for the lease on its failure domain. Adds the
shutdown task that releases the lease; it must run last, so call this after all other shutdown tasks were added.
*/
export function startAuthority(dependencies: EntryDependencies & {readonly stop: GracefulStop}, planner: RolePlanner = new FixedRolePlanner()): Authority {
	const {settings, timers} = dependencies;
	const engines = new Map<string, HttpEngine>();
	const authority = new Authority({
		vm: settings.vm,
		domain: settings.domain,
		incarnation: dependencies.facts.get('member', settings.vm)?.value.incarnation ?? Math.floor(timers.getWallTime()),
		store: dependencies.store,
		vms: dependencies.vms,
		timers,
		facts: dependencies.facts,
		history: dependencies.history,
		metrics: dependencies.metrics,
		planner,
		getDeployment: dependencies.getDeployment,
		getEngine(_id, address) {
			// Orders use separate connections, so that many open streams can't delay them.
			const engine = engines.get(address) ?? new HttpEngine(address);
			engines.set(address, engine);
			return engine;
		},
		getRandom: () => Math.random(),
		createId: () => randomUUID(),
	});
	authority.start();
	dependencies.stop.addShutdownTask({
		name: 'give up the lease',
		async run() {
			await authority.stop();
		},
	});
	return authority;
}
