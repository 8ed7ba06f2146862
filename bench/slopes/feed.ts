import {FeedFleet} from '../feed/fleet.js';
import type {FeedSizes} from '../feed/fleet.js';
import {
	createDeployment, createFacts, createWork, longRun,
} from './fleet.js';
import type {Slope} from './slope.js';
import {measureHeap, measureMicroseconds, measureStartedHeap} from './usage.js';

const merges = 20_000;

/** Slopes of the table of facts: memory against members and engines, and the time to take in a fact. */
export const feedSlopes: readonly Slope[] = [
	{
		role: 'facts',
		what: 'heap, bytes',
		against: 'members (no engines)',
		sizes: [20, 100, 200, 380],
		measure: nodes => measureFacts(nodes, 1),
	},
	{
		role: 'facts',
		what: 'heap, bytes',
		against: 'engines (10 members)',
		sizes: [100, 300, 600, 1200],
		measure: engines => measureFacts(10, engines),
	},
	{
		role: 'facts',
		what: 'one merge, µs',
		against: 'engines known',
		sizes: [100, 300, 600, 1200],
		measure: engines => measureMerge(engines),
	},
	{
		role: 'facts',
		what: 'heap of requests in progress, bytes',
		against: 'requests',
		sizes: [100, 300, 1000],
		measure: requests => measureHeap(() => Array.from({length: requests}, (_, index) => createWork(index, longRun, 100))),
	},
];

const trafficSeconds = 8;

/** Slopes of the feed between entries, in one process over fake wires: bytes at a node, and the time to be everywhere. */
export const trafficSlopes: readonly Slope[] = [
	{
		role: 'feed',
		what: 'bytes a second a node, sent and received, mean',
		against: 'engines of a domain (20 entries, one domain)',
		sizes: [3, 30, 60, 120],
		measure: async engines => measureTraffic({entries: 20, domains: 1, engines}),
		repeats: 1,
	},
	{
		role: 'feed',
		what: 'bytes a second a node, sent and received, mean',
		against: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureTraffic({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		what: 'processor ms a second a node, harness included',
		against: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureProcessor({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		what: 'heap of a node\'s feed and membership, bytes',
		against: 'entries of a domain (120 engines, one domain)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureNodeHeap({entries, domains: 1, engines: 120}),
		repeats: 1,
	},
	{
		role: 'feed',
		what: 'ms until a closed upstream is known everywhere',
		against: 'entries of a domain (no loads)',
		sizes: [3, 10, 30, 76],
		measure: async entries => measureSpread({entries, domains: 1, engines: 0}),
		repeats: 1,
	},
];

async function startFleet(sizes: FeedSizes): Promise<FeedFleet> {
	const fleet = new FeedFleet(sizes);
	await fleet.start();
	return fleet;
}

async function measureTraffic(sizes: FeedSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	const {sent, received} = await fleet.measureTraffic(trafficSeconds);
	return sent.mean + received.mean;
}

async function measureProcessor(sizes: FeedSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	const {cpuMs} = await fleet.measureTraffic(trafficSeconds);
	return cpuMs;
}

async function measureNodeHeap(sizes: FeedSizes): Promise<number> {
	const heap = await measureStartedHeap(async () => startFleet(sizes));
	return heap / sizes.entries;
}

async function measureSpread(sizes: FeedSizes): Promise<number> {
	const fleet = await startFleet(sizes);
	return fleet.measureUpstreamSpread();
}

function measureFacts(nodes: number, engines: number): number {
	const sizes = {...longRun, nodes, engines};
	const deployment = createDeployment(sizes);
	return measureHeap(() => createFacts(deployment, sizes));
}

function measureMerge(engines: number): number {
	const sizes = {...longRun, engines};
	const facts = createFacts(createDeployment(sizes), sizes);
	const loads = facts.list('load');
	return measureMicroseconds(merges, index => {
		const load = loads[index % loads.length]!;
		facts.merge({...load, version: index + 2});
	});
}
