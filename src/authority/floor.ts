import {engineRole, serviceKind} from '../deployment/index.js';
import type {Deployment, EngineRole, ModelService} from '../deployment/index.js';
import {isServing} from './record.js';
import type {DomainRecord, UpstreamRecord} from './record.js';

/** Roles that a floor counts. */
export type FloorRole = 'prefill' | 'decode';

/**
Computes how many engines of a service a domain must keep for one role, from the text alone, so that domains need
not agree: the floor goes to the domains one by one, to the one with the most engines left to give. At least one
engine of a domain can always be taken, or no new version could ever be loaded.
*/
export function computeShare(deployment: Deployment, service: ModelService, role: FloorRole, domain: string): number {
	const engines = new Map(deployment.domains.map(name => [name, countEngines(deployment, service.name, name)]));
	const shares = new Map(deployment.domains.map(name => [name, 0]));
	for (let left = service.floor[role]; left > 0; left--) {
		const [next] = [...shares.keys()].toSorted((one, other) => countFree(other) - countFree(one) || one.localeCompare(other));
		if (next === undefined) {
			return 0;
		}

		shares.set(next, (shares.get(next) ?? 0) + 1);
	}

	return Math.max(0, Math.min(shares.get(domain) ?? 0, (engines.get(domain) ?? 0) - 1));

	function countFree(name: string): number {
		return (engines.get(name) ?? 0) - (shares.get(name) ?? 0);
	}
}

/** Says which floor forbids taking an engine out of service by plan; `undefined` when none does. */
export function explainFloor(deployment: Deployment, record: DomainRecord, id: string, domain: string): string | undefined {
	const known = record.upstreams[id];
	const service = deployment.services.find(({name}) => name === known?.service);
	if (!known || service?.kind !== serviceKind.model) {
		return undefined;
	}

	const others = Object.keys(record.upstreams)
		.filter(other => other !== id)
		.flatMap(other => record.upstreams[other] ?? [])
		.filter(other => other.service === service.name && isServing(other));
	const broken = ([engineRole.prefill, engineRole.decode] as const).find(role => hasRole(known, role)
		&& others.filter(other => hasRole(other, role)).length < computeShare(deployment, service, role, domain));
	return broken && `the floor of ${service.name} for ${broken}`;
}

function hasRole(known: UpstreamRecord, role: EngineRole): boolean {
	return known.setup?.role === role || known.setup?.role === engineRole.mixed;
}

function countEngines(deployment: Deployment, service: string, domain: string): number {
	return deployment.upstreams.filter(upstream => upstream.service === service && upstream.domain === domain).length;
}
