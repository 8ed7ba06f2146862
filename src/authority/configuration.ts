import {serviceKind} from '../deployment/index.js';
import type {Deployment, Upstream} from '../deployment/index.js';
import {upstreamState} from '../feed/index.js';
import {removeUpstream} from './record.js';
import type {DomainRecord, UpstreamRecord} from './record.js';

/**
Updates the record's upstreams to those of the configuration. New ones are away until they are set up. Those that are no
longer configured stay until they are withdrawn and drained and no send to them may still arrive. Returns the same record
when nothing changes.
*/
export function applyConfiguration(record: DomainRecord, deployment: Deployment, domain: string, version: number): DomainRecord {
	const configuredUpstreams = new Map(deployment.upstreams.filter(configured => configured.domain === domain).map(configured => [configured.id, configured]));
	let changed = version > record.configuration ? {...record, configuration: version} : record;
	for (const [id, configured] of configuredUpstreams) {
		const upstream = changed.upstreams[id];
		const updated = updateAddress(upstream ?? createUpstream(deployment, configured), configured);
		changed = updated === upstream ? changed : {...changed, upstreams: {...changed.upstreams, [id]: updated}};
	}

	for (const [id, upstream] of Object.entries(changed.upstreams)) {
		if (!configuredUpstreams.has(id) && isRemovable(upstream)) {
			changed = removeUpstream(changed, id);
		}
	}

	return changed;
}

function createUpstream(deployment: Deployment, configured: Upstream): UpstreamRecord {
	const service = deployment.services.find(({name}) => name === configured.service);
	return {
		address: configured.address,
		service: configured.service,
		isEngine: service?.kind === serviceKind.model,
		isFenced: configured.fenced,
		state: upstreamState.away,
		senders: [],
		isDrained: false,
	};
}

function updateAddress(upstream: UpstreamRecord, {address, fenced, service}: Upstream): UpstreamRecord {
	const isSame = upstream.address === address && upstream.isFenced === fenced && upstream.service === service;
	return isSame
		? upstream
		: {
			...upstream, address, service, isFenced: fenced,
		};
}

function isRemovable(upstream: UpstreamRecord): boolean {
	return upstream.state === upstreamState.withdrawn && upstream.isDrained && upstream.senders.length === 0;
}
