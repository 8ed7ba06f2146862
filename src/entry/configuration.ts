import {ConfigurationTracker} from '../configuration/index.js';
import type {Membership} from '../membership/index.js';
import type {EntryDependencies} from './dependencies.js';

/** Dependencies of an entry with the object that follows its configuration. */
export type ConfiguredEntryDependencies = EntryDependencies & {readonly configuration: ConfigurationTracker};

/** What the configuration is created from. */
export type ConfigurationDependencies = Pick<EntryDependencies, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'metrics'>;

/**
Creates the object that follows the configuration in force, not yet started. `getMembership` may return `undefined` until
gossip has started; until then this entry counts as the only one of its failure domain.
*/
export function createConfiguration(dependencies: ConfigurationDependencies, getMembership: () => Membership | undefined): ConfigurationTracker {
	const {vm, domain} = dependencies.settings;
	return new ConfigurationTracker({
		...dependencies,
		vm,
		getRandom: () => Math.random(),
		listLiveVms: () => getMembership()?.listLive(domain).map(member => member.vm) ?? [vm],
		countMembers: () => getMembership()?.listMembers(domain).length ?? 1,
	});
}
