import {randomUUID} from 'node:crypto';
import {Authority} from '../authority/index.js';
import {FixedRolePlanner} from '../planning/index.js';
import type {RolePlanner} from '../planning/index.js';
import {HttpEngine} from '../upstreams/index.js';
import type {EntryDependencies} from './dependencies.js';
import type {GracefulStop} from './stop.js';

/**
Starts this entry's part in the authority over its own failure domain. The lease is given up as the last task of a
graceful stop, so this is called after every other last task was added.
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
			// Orders have connections of their own: a crowd of streams never delays them.
			const engine = engines.get(address) ?? new HttpEngine(address);
			engines.set(address, engine);
			return engine;
		},
		random: () => Math.random(),
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
