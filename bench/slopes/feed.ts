import {GossipFleet} from '../feed/fleet.js';
import type {GossipFleetSizes} from '../feed/fleet.js';
import {
	createDeployment, createFacts, createRoutingRequest, expectedFleet,
} from './fleet.js';
import type {Slope} from './slope.js';
import {measureHeap, measureMicroseconds, measureStartedHeap} from './usage.js';

const mergeCount = 20_000;

/** Slopes of the fact table: memory by members and by engines, the time to merge a fact, and the memory of requests in progress. */
export const factSlopes: readonly Slope[] = [
	{
		role: 'facts',
		quantity: 'heap, bytes',
		sizeLabel: 'members (no engines)',
		sizes: [20, 100, 200, 380],
		measure: entries => measureFactsHeap(entries, 1),
	},
	{
		role: 'facts',
		quantity: 'heap, bytes',
		sizeLabel: 'engines (10 members)',
		sizes: [100, 300, 600, 1200],
		measure: engines => measureFactsHeap(10, engines),
	},
	{
		role: 'facts',
		quantity: 'one merge, µs',
		sizeLabel: 'engines known',
		sizes: [100, 300, 600, 1200],
		measure: engines => measureMerge(engines),
	},
	{
		role: 'facts',
		quantity: 'heap of requests in progress, bytes',
		sizeLabel: 'requests',
		sizes: [100, 300, 1000],
		measure: requests => measureHeap(() => Array.from({length: requests}, (_, index) => createRoutingRequest(index, expectedFleet, 100))),
	},
];

const trafficSeconds = 8;

/** Slopes of the gossip between entries in one process over a fake network: bytes, processor time and memory per entry, and the time until all entries know a fact. */
export const gossipSlopes: readonly Slope[] = [
	{
		role: 'feed',
		quantity: 'bytes a second a node, sent and received, mean',
		sizeLabel: 'engines of a domain (20 entries, one domain)',
		sizes: [3, 30, 60, 120],
		measure: async engines => measureTraffic({entries: 20, domains: 1, engines}),
		repeats: 1,
	},
	{
		role: 'feed',
		quantity: 'bytes a second a node, sent and received, mean',
		sizeLabel: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureTraffic({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		quantity: 'processor ms a second a node, harness included',
		sizeLabel: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureProcessorTime({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		quantity: 'heap of a node\'s feed and membership, bytes',
		sizeLabel: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureEntryHeap({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		quantity: 'ms until a closed upstream is known everywhere',
		sizeLabel: 'entries of a domain (no loads)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measurePropagation({entries, domains: 1, engines: 0}),
		repeats: 1,
	},
];

async function startFleet(sizes: GossipFleetSizes): Promise<GossipFleet> {
	const fleet = new GossipFleet(sizes);
	await fleet.start();
	return fleet;
}

async function measureTraffic(sizes: GossipFleetSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	const {sent, received} = await fleet.measureTraffic(trafficSeconds);
	return sent.mean + received.mean;
}

async function measureProcessorTime(sizes: GossipFleetSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	const {cpuMs} = await fleet.measureTraffic(trafficSeconds);
	return cpuMs;
}

async function measureEntryHeap(sizes: GossipFleetSizes): Promise<number> {
	const heap = await measureStartedHeap(async () => startFleet(sizes));
	return heap / sizes.entries;
}

async function measurePropagation(sizes: GossipFleetSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	return fleet.measureUpstreamPropagation();
}

function measureFactsHeap(entries: number, engines: number): number {
	const sizes = {...expectedFleet, entries, engines};
	const deployment = createDeployment(sizes);
	return measureHeap(() => createFacts(deployment, sizes));
}

function measureMerge(engines: number): number {
	const sizes = {...expectedFleet, engines};
	const facts = createFacts(createDeployment(sizes), sizes);
	const loads = facts.list('load');
	return measureMicroseconds(mergeCount, index => {
		const load = loads[index % loads.length]!;
		facts.merge({...load, version: index + 2});
	});
}
