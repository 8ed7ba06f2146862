import {engineRole, serviceKind} from '../deployment/index.js';
import type {Deployment, EngineRole, ModelService} from '../deployment/index.js';
import {isServing} from './record.js';
import type {DomainRecord, UpstreamRecord} from './record.js';

/** Roles that have a minimum number of engines. */
export type MinimumRole = 'prefill' | 'decode';

/**
Computes how many engines of a service a domain must keep in service for one role. It depends on the configuration alone,
so that domains need not coordinate: the service's minimum is split over the domains one engine at a time, each time to the
domain with the most engines to spare. At least one engine of a domain may always be taken out of service, as otherwise no
new version could ever be loaded.
*/
export function computeDomainMinimum(deployment: Deployment, service: ModelService, role: MinimumRole, domain: string): number {
	const engineCounts = new Map(deployment.domains.map(name => [name, countEngines(deployment, service.name, name)]));
	const minimums = new Map(deployment.domains.map(name => [name, 0]));
	for (let remaining = service.floor[role]; remaining > 0; remaining--) {
		const [nextDomain] = [...minimums.keys()].toSorted((one, other) => countSpare(other) - countSpare(one) || one.localeCompare(other));
		if (nextDomain === undefined) {
			return 0;
		}

		minimums.set(nextDomain, (minimums.get(nextDomain) ?? 0) + 1);
	}

	return Math.max(0, Math.min(minimums.get(domain) ?? 0, (engineCounts.get(domain) ?? 0) - 1));

	function countSpare(name: string): number {
		return (engineCounts.get(name) ?? 0) - (minimums.get(name) ?? 0);
	}
}

/** Names the role minimum that a planned removal of an engine from service would violate; `undefined` for none. */
export function explainMinimum(deployment: Deployment, record: DomainRecord, id: string, domain: string): string | undefined {
	const upstream = record.upstreams[id];
	const service = deployment.services.find(({name}) => name === upstream?.service);
	if (!upstream || service?.kind !== serviceKind.model) {
		return undefined;
	}

	const others = Object.keys(record.upstreams)
		.filter(other => other !== id)
		.flatMap(other => record.upstreams[other] ?? [])
		.filter(other => other.service === service.name && isServing(other));
	const violatedRole = ([engineRole.prefill, engineRole.decode] as const).find(role => hasRole(upstream, role)
		&& others.filter(other => hasRole(other, role)).length < computeDomainMinimum(deployment, service, role, domain));
	return violatedRole && `the floor of ${service.name} for ${violatedRole}`;
}

function hasRole(upstream: UpstreamRecord, role: EngineRole): boolean {
	return upstream.setup?.role === role || upstream.setup?.role === engineRole.mixed;
}

function countEngines(deployment: Deployment, service: string, domain: string): number {
	return deployment.upstreams.filter(configured => configured.service === service && configured.domain === domain).length;
}
