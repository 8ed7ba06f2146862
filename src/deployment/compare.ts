import type {Deployment} from './types.js';

/** One difference between two configurations: in a service, an upstream or a general setting. */
export type Difference = {
	/** `service contracts`, `upstream engine-1`, or `deployment head` for the general settings. */
	readonly subject: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** The fields that changed with their old and new values, for people; empty unless `change` is `changed`. */
	readonly detail: string;
};

/** Lists the differences between two configurations; without `before`, everything in `after` counts as added. */
export function compareDeployments(before: Deployment | undefined, after: Deployment): Difference[] {
	return [
		...compareLists('service', mapByKey(before?.services ?? [], service => service.name), mapByKey(after.services, service => service.name)),
		...compareLists('upstream', mapByKey(before?.upstreams ?? [], upstream => upstream.id), mapByKey(after.upstreams, upstream => upstream.id)),
		...compareLists('deployment', createHead(before), createHead(after)),
	];
}

/** Formats differences for people, one per line: `+` added, `-` removed, `~` changed. */
export function formatDifferences(differences: readonly Difference[]): string {
	const symbols = {added: '+', removed: '-', changed: '~'} as const;
	return differences.map(({subject, change, detail}) => `${symbols[change]} ${subject}${detail === '' ? '' : `: ${detail}`}`).join('\n');
}

function createHead(deployment: Deployment | undefined): ReadonlyMap<string, Record<string, unknown>> {
	if (!deployment) {
		return new Map();
	}

	const {name, domains, goodputWeight, callers} = deployment;
	return new Map([['head', {
		name, domains, goodputWeight, ...callers,
	}]]);
}

function mapByKey<Item extends Record<string, unknown>>(items: readonly Item[], getKey: (item: Item) => string): ReadonlyMap<string, Item> {
	return new Map(items.map(item => [getKey(item), item]));
}

function compareLists(name: string, before: ReadonlyMap<string, Record<string, unknown>>, after: ReadonlyMap<string, Record<string, unknown>>): Difference[] {
	const keys = [...new Set([...before.keys(), ...after.keys()])];
	return keys.flatMap((key): Difference[] => {
		const subject = `${name} ${key}`;
		const oldItem = before.get(key);
		const newItem = after.get(key);
		if (!oldItem || !newItem) {
			return [{subject, change: oldItem ? 'removed' : 'added', detail: ''}];
		}

		const detail = compareFields(oldItem, newItem);
		return detail === '' ? [] : [{subject, change: 'changed', detail}];
	});
}

function compareFields(before: Record<string, unknown>, after: Record<string, unknown>): string {
	const oldFields = new Map(Object.entries(before).map(([key, value]) => [key, JSON.stringify(value)]));
	return Object.entries(after)
		.filter(([key, value]) => oldFields.get(key) !== JSON.stringify(value))
		.map(([key, value]) => `${key} ${oldFields.get(key) ?? 'absent'} -> ${JSON.stringify(value)}`)
		.join(', ');
}
