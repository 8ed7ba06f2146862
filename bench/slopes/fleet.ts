import type {Deployment, ModelService, Upstream} from '../../src/deployment/index.js';
import {engineRole, serviceKind} from '../../src/deployment/index.js';
import {FactTable, upstreamState} from '../../src/feed/index.js';
import type {RoutingRequest} from '../../src/routing/index.js';
import {vmState} from '../../src/store/index.js';

/** Size of a deployment: the number of each of its parts. */
export type FleetSizes = {
	readonly domains: number;
	readonly entries: number;
	readonly engines: number;
	readonly models: number;
};

/** The size that the users expect their deployment to reach within two years. */
export const expectedFleet: FleetSizes = {
	domains: 5, entries: 380, engines: 600, models: 27,
};

/** Gets the name of the failure domain that the entry or engine with the given index belongs to. */
export const getDomain = (index: number, {domains}: FleetSizes): string => `domain-${index % domains}`;

/** Creates a deployment of the given size; engines are spread evenly over models and failure domains. */
export function createDeployment(sizes: FleetSizes): Deployment {
	const services = Array.from({length: sizes.models}, (_, index): ModelService => ({
		kind: serviceKind.model,
		name: `service-${index}`,
		dependsOn: [],
		model: `model-${index}`,
		version: '1',
		adapters: [],
		deadlineMs: 30_000,
		firstTokenMs: 900,
		betweenTokensMs: 54,
		floor: {prefill: 1, decode: 1},
	}));
	const upstreams = Array.from({length: sizes.engines}, (_, index): Upstream => ({
		id: `engine-${index}`,
		service: `service-${Math.floor(index / sizes.domains) % sizes.models}`,
		domain: getDomain(index, sizes),
		address: `10.${Math.floor(index / 250)}.${index % 250}.1:7000`,
		fenced: true,
		pieces: 64,
	}));
	return {
		name: 'long-run',
		goodputWeight: 0.5,
		domains: Array.from({length: sizes.domains}, (_, index) => getDomain(index, sizes)),
		callers: {requestsPerSecond: 1e9, tokensPerSecond: 1e12},
		services,
		upstreams,
	};
}

/** Creates the fact table of an entry in such a deployment: members, states of engines and load reports. */
export function createFacts(deployment: Deployment, sizes: FleetSizes): FactTable {
	const facts = new FactTable();
	for (let index = 0; index < sizes.entries; index++) {
		const vm = `vm-${index}`;
		facts.merge({
			kind: 'member',
			key: vm,
			version: 1,
			value: {
				vm,
				domain: getDomain(index, sizes),
				http: `10.9.${Math.floor(index / 250)}.${index % 250}:80`,
				peer: `10.9.${Math.floor(index / 250)}.${index % 250}:90`,
				incarnation: 1,
				state: vmState.live,
				configuration: 1,
				closed: {},
			},
		});
	}

	for (const upstream of deployment.upstreams) {
		const model = upstream.service.replace('service', 'model');
		const setup = {
			role: engineRole.mixed, model, version: '1', adapters: [],
		};
		facts.merge({
			kind: 'upstream', key: upstream.id, version: 1, value: {state: upstreamState.serving, setup},
		});
		facts.merge({
			kind: 'load',
			key: upstream.id,
			version: 1,
			value: {
				sequence: 1, incarnation: 1, role: engineRole.mixed, running: 4, waiting: 0, prefillTokens: 500, decodeTokens: 800, piecesUsed: 8, pieces: 64,
			},
		});
	}

	return facts;
}

/** Creates the request with the given index; the index also selects its model and one of `callers` callers. */
export function createRoutingRequest(index: number, sizes: FleetSizes, callers: number): RoutingRequest {
	const model = index % sizes.models;
	return {
		id: `request-${index}`,
		caller: `caller-${index % callers}`,
		service: `service-${model}`,
		model: `model-${model}`,
		version: '1',
		promptTokens: 200 + ((index * 37) % 4000),
		maxTokens: 64 + (index % 200),
		prefixes: [`prefix-${index % 50}`],
		priority: 0,
		firstTokenTargetAt: Number.MAX_SAFE_INTEGER,
		deadlineAt: Number.MAX_SAFE_INTEGER,
	};
}
