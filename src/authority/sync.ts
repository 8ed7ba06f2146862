import {serviceKind} from '../deployment/index.js';
import type {Deployment, Upstream} from '../deployment/index.js';
import {upstreamState} from '../feed/index.js';
import {removeUpstream} from './record.js';
import type {DomainRecord, UpstreamRecord} from './record.js';

/**
Brings the record's list of upstreams to the text's: new ones are away until they are set up; those no longer in the
text stay until they are drained and no send to them may still arrive. Returns the same record when nothing changes.
*/
export function applyText(record: DomainRecord, deployment: Deployment, domain: string, version: number): DomainRecord {
	const wanted = new Map(deployment.upstreams.filter(upstream => upstream.domain === domain).map(upstream => [upstream.id, upstream]));
	let changed = version > record.configuration ? {...record, configuration: version} : record;
	for (const [id, upstream] of wanted) {
		const known = changed.upstreams[id];
		const next = updateAddress(known ?? createUpstream(deployment, upstream), upstream);
		changed = next === known ? changed : {...changed, upstreams: {...changed.upstreams, [id]: next}};
	}

	for (const [id, known] of Object.entries(changed.upstreams)) {
		if (!wanted.has(id) && isGone(known)) {
			changed = removeUpstream(changed, id);
		}
	}

	return changed;
}

function createUpstream(deployment: Deployment, upstream: Upstream): UpstreamRecord {
	const service = deployment.services.find(({name}) => name === upstream.service);
	return {
		address: upstream.address,
		service: upstream.service,
		isEngine: service?.kind === serviceKind.model,
		isFenced: upstream.fenced,
		state: upstreamState.away,
		senders: [],
		isDrained: false,
	};
}

function updateAddress(known: UpstreamRecord, {address, fenced, service}: Upstream): UpstreamRecord {
	const isSame = known.address === address && known.isFenced === fenced && known.service === service;
	return isSame
		? known
		: {
			...known, address, service, isFenced: fenced,
		};
}

function isGone(known: UpstreamRecord): boolean {
	return known.state === upstreamState.withdrawn && known.isDrained && known.senders.length === 0;
}
