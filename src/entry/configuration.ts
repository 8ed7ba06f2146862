import {ConfigurationKeeper} from '../configuration/index.js';
import type {Membership} from '../membership/index.js';
import type {EntryParts} from './parts.js';

/** An entry's parts with the keeper of its configuration. */
export type KeptParts = EntryParts & {readonly keeper: ConfigurationKeeper};

/** What the configuration's part is made from. */
export type ConfigurationParts = Pick<EntryParts, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'metrics'>;

/** Makes the keeper of the configuration in force; `getMembership` may tell nobody until the feed has started. */
export function createKeeper(parts: ConfigurationParts, getMembership: () => Membership | undefined): ConfigurationKeeper {
	const {vm, domain} = parts.settings;
	return new ConfigurationKeeper({
		...parts,
		vm,
		pick: () => Math.random(),
		listLive: () => getMembership()?.listLive(domain).map(member => member.vm) ?? [vm],
		countExpected: () => getMembership()?.listMembers(domain).length ?? 1,
	});
}
