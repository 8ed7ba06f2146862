import {DemandMeter} from '../../src/loads/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {createRouting, FleetView, placementOutcome} from '../../src/routing/index.js';
import type {Router} from '../../src/routing/index.js';
import {SystemTimers} from '../../src/timers/index.js';
import {
	createDeployment, createFacts, createWork, getDomain, longRun,
} from './fleet.js';
import type {FleetSizes} from './fleet.js';
import type {Slope} from './slope.js';
import {measureHeap, measureMicroseconds} from './usage.js';

const decisions = 4000;
const manyCallers = 3400;

/** Slopes of a routing decision: processor time against engines, nodes and callers, and what a caller costs in memory. */
export const routerSlopes: readonly Slope[] = [
	{
		role: 'routing',
		what: 'one decision, µs',
		against: 'engines in all (380 nodes, 27 models)',
		sizes: [135, 300, 600, 1200],
		measure: engines => measureDecision({...longRun, engines}, manyCallers),
	},
	{
		role: 'routing',
		what: 'one decision, µs',
		against: 'nodes in all (600 engines)',
		sizes: [20, 100, 200, 380],
		measure: nodes => measureDecision({...longRun, nodes}, manyCallers),
	},
	{
		role: 'routing',
		what: 'one decision, µs',
		against: 'callers',
		sizes: [100, 1000, 3400, 7000],
		measure: callers => measureDecision(longRun, callers),
	},
	{
		role: 'fairness',
		what: 'heap, bytes',
		against: 'callers',
		sizes: [500, 1000, 2000, 3400],
		measure: callers => measureHeap(() => createUsedRouter(longRun, callers, callers)),
	},
];

function measureDecision(sizes: FleetSizes, callers: number): number {
	const router = createRouter(sizes);
	return measureMicroseconds(decisions, index => {
		decideOnce(router, sizes, {index, callers});
	});
}

function createUsedRouter(sizes: FleetSizes, callers: number, requests: number): Router {
	const router = createRouter(sizes);
	for (let index = 0; index < requests; index++) {
		decideOnce(router, sizes, {index, callers});
	}

	return router;
}

function decideOnce(router: Router, sizes: FleetSizes, {index, callers}: {readonly index: number; readonly callers: number}): void {
	const work = createWork(index, sizes, callers);
	const placement = router.choosePlacement(work, new Set());
	router.onSent(work, placement);
	router.onEnd(work, placement, placementOutcome.done);
}

function createRouter(sizes: FleetSizes): Router {
	const timers = new SystemTimers();
	const deployment = createDeployment(sizes);
	const facts = createFacts(deployment, sizes);
	const view = new FleetView(facts, () => deployment, getDomain(0, sizes));
	const {router} = createRouting({
		timers, random: new RandomSource(1), facts, view, demand: new DemandMeter(timers), getLocalShare: () => 1 / sizes.nodes,
	});
	return router;
}
