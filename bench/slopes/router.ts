import {DemandMeter} from '../../src/loads/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {createRouting, FleetView, placementOutcome} from '../../src/routing/index.js';
import type {Router} from '../../src/routing/index.js';
import {SystemTimers} from '../../src/timers/index.js';
import {
	createDeployment, createFacts, createRoutingRequest, getDomain, expectedFleet,
} from './fleet.js';
import type {FleetSizes} from './fleet.js';
import type {Slope} from './slope.js';
import {measureHeap, measureMicroseconds} from './usage.js';

const decisionCount = 4000;
const defaultCallerCount = 3400;

/** Slopes of routing: time per decision by engines, entries and callers, and memory by callers. */
export const routerSlopes: readonly Slope[] = [
	{
		role: 'routing',
		quantity: 'one decision, µs',
		sizeLabel: 'engines in all (380 nodes, 27 models)',
		sizes: [135, 300, 600, 1200],
		measure: engines => measureDecision({...expectedFleet, engines}, defaultCallerCount),
	},
	{
		role: 'routing',
		quantity: 'one decision, µs',
		sizeLabel: 'nodes in all (600 engines)',
		sizes: [20, 100, 200, 380],
		measure: entries => measureDecision({...expectedFleet, entries}, defaultCallerCount),
	},
	{
		role: 'routing',
		quantity: 'one decision, µs',
		sizeLabel: 'callers',
		sizes: [100, 1000, 3400, 7000],
		measure: callers => measureDecision(expectedFleet, callers),
	},
	{
		role: 'fairness',
		quantity: 'heap, bytes',
		sizeLabel: 'callers',
		sizes: [500, 1000, 2000, 3400],
		measure: callers => measureHeap(() => createRouterWithCallers(expectedFleet, callers, callers)),
	},
];

function measureDecision(sizes: FleetSizes, callers: number): number {
	const router = createRouter(sizes);
	return measureMicroseconds(decisionCount, index => {
		runDecision(router, sizes, {index, callers});
	});
}

function createRouterWithCallers(sizes: FleetSizes, callers: number, requestCount: number): Router {
	const router = createRouter(sizes);
	for (let index = 0; index < requestCount; index++) {
		runDecision(router, sizes, {index, callers});
	}

	return router;
}

function runDecision(router: Router, sizes: FleetSizes, {index, callers}: {readonly index: number; readonly callers: number}): void {
	const request = createRoutingRequest(index, sizes, callers);
	const placement = router.choosePlacement(request, new Set());
	router.onSent(request, placement);
	router.onEnd(request, placement, placementOutcome.done);
}

function createRouter(sizes: FleetSizes): Router {
	const timers = new SystemTimers();
	const deployment = createDeployment(sizes);
	const facts = createFacts(deployment, sizes);
	const view = new FleetView(facts, () => deployment, getDomain(0, sizes));
	const {router} = createRouting({
		timers, random: new RandomSource(1), facts, view, demand: new DemandMeter(timers), getLocalShare: () => 1 / sizes.entries,
	});
	return router;
}
