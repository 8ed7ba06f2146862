import {ConfigurationKeeper} from '../configuration/index.js';
import type {Membership} from '../membership/index.js';
import type {EntryDependencies} from './dependencies.js';

/** An entry's parts with the keeper of its configuration. */
export type ConfiguredEntryDependencies = EntryDependencies & {readonly configuration: ConfigurationKeeper};

/** What the configuration's part is made from. */
export type ConfigurationDependencies = Pick<EntryDependencies, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'metrics'>;

/** Makes the keeper of the configuration in force; `getMembership` may tell nobody until the feed has started. */
export function createConfiguration(dependencies: ConfigurationDependencies, getMembership: () => Membership | undefined): ConfigurationKeeper {
	const {vm, domain} = dependencies.settings;
	return new ConfigurationKeeper({
		...dependencies,
		vm,
		pick: () => Math.random(),
		listLive: () => getMembership()?.listLive(domain).map(member => member.vm) ?? [vm],
		countExpected: () => getMembership()?.listMembers(domain).length ?? 1,
	});
}
