import {
	createDeployment, createFacts, createWork, longRun,
} from './fleet.js';
import type {Slope} from './slope.js';
import {measureHeap, measureMicroseconds} from './usage.js';

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
