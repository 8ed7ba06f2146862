import type {Deployment} from './types.js';

/** One difference between two texts: a service, an upstream or a general value. */
export type Difference = {
	/** `service contracts`, `upstream engine-1`, `callers`, `goodput_weight` and the like. */
	readonly subject: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** For people: the fields that changed, with both values. */
	readonly detail: string;
};

/** Compares two texts in terms of services and upstreams. */
export function compareDeployments(before: Deployment | undefined, after: Deployment): Difference[] {
	return [
		...compareLists('service', createMap(before?.services ?? [], service => service.name), createMap(after.services, service => service.name)),
		...compareLists('upstream', createMap(before?.upstreams ?? [], upstream => upstream.id), createMap(after.upstreams, upstream => upstream.id)),
		...compareLists('deployment', createHead(before), createHead(after)),
	];
}

/** Formats differences, one a line. */
export function formatDifferences(differences: readonly Difference[]): string {
	const signs = {added: '+', removed: '-', changed: '~'} as const;
	return differences.map(({subject, change, detail}) => `${signs[change]} ${subject}${detail === '' ? '' : `: ${detail}`}`).join('\n');
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

function createMap<Item extends Record<string, unknown>>(items: readonly Item[], getKey: (item: Item) => string): ReadonlyMap<string, Item> {
	return new Map(items.map(item => [getKey(item), item]));
}

function compareLists(name: string, before: ReadonlyMap<string, Record<string, unknown>>, after: ReadonlyMap<string, Record<string, unknown>>): Difference[] {
	const keys = [...new Set([...before.keys(), ...after.keys()])];
	return keys.flatMap((key): Difference[] => {
		const subject = `${name} ${key}`;
		const old = before.get(key);
		const fresh = after.get(key);
		if (!old || !fresh) {
			return [{subject, change: old ? 'removed' : 'added', detail: ''}];
		}

		const detail = compareFields(old, fresh);
		return detail === '' ? [] : [{subject, change: 'changed', detail}];
	});
}

function compareFields(before: Record<string, unknown>, after: Record<string, unknown>): string {
	const fields = new Map(Object.entries(before).map(([key, value]) => [key, JSON.stringify(value)]));
	return Object.entries(after)
		.filter(([key, value]) => fields.get(key) !== JSON.stringify(value))
		.map(([key, value]) => `${key} ${fields.get(key) ?? 'absent'} -> ${JSON.stringify(value)}`)
		.join(', ');
}
