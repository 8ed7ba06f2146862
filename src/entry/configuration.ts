import {ConfigurationTracker} from '../configuration/index.js';
import type {Membership} from '../membership/index.js';
import type {EntryParts} from './parts.js';

/** An entry's parts with the keeper of its configuration. */
export type KeptParts = EntryParts & {readonly keeper: ConfigurationTracker};

/** What the configuration's part is made from. */
export type ConfigurationParts = Pick<EntryParts, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'metrics'>;

/** Makes the keeper of the configuration in force; `getMembership` may tell nobody until the feed has started. */
export function createKeeper(parts: ConfigurationParts, getMembership: () => Membership | undefined): ConfigurationTracker {
	const {vm, domain} = parts.settings;
	return new ConfigurationTracker({
		...parts,
		vm,
		getRandom: () => Math.random(),
		listLiveVms: () => getMembership()?.listLive(domain).map(member => member.vm) ?? [vm],
		countMembers: () => getMembership()?.listMembers(domain).length ?? 1,
	});
}
