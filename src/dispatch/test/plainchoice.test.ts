import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {
	choosePlainEngine, engineStage, EngineView, isTooLateFor,
} from '../index.js';
import type {EngineLoad} from '../index.js';

const slots = 6;

const idle: EngineLoad = {running: 1, waiting: 0, slowdown: 1};

function createView(id: string, durationMs?: number, load = idle, at = 0): EngineView {
	const view = new EngineView({
		id, address: `${id}:1`, service: 'app', stage: engineStage.any, slots, isLeaving: false, startedAt: undefined,
	});
	if (durationMs !== undefined) {
		view.onLoad(load, at);
		view.onDuration(durationMs, load);
	}

	return view;
}

/** Computes the share of choices that each engine gets. */
function measureShares(views: readonly EngineView[], now: number): number[] {
	const random = new RandomSource(1);
	const counts = views.map(() => 0);
	for (let index = 0; index < 4000; index++) {
		counts[views.indexOf(choosePlainEngine(views, new Set(), now, () => random.getRandom())!)]!++;
	}

	return counts.map(count => count / 4000);
}

describe('choosePlainEngine with reported slowdowns', () => {
	it('does not take an engine for slow whose duration was measured while its machine was slow', () => {
		const views = [createView('a', 100, {running: 1, waiting: 0, slowdown: 2.5}), createView('b', 40)];
		expect(views[0]!.averageDurationMs).to.equal(40);
		const [share] = measureShares(views, 60_000);
		expect(share).to.be.within(0.3, 0.55);
	});

	it('avoids an engine that has just reported a slowdown, and not for longer than that lasts', () => {
		const views = [createView('a', 40), createView('b', 40)];
		views[0]!.onLoad({running: 1, waiting: 0, slowdown: 2.5}, 1000);
		expect(measureShares(views, 1010)[0]).to.be.below(0.1);
		expect(measureShares(views, 3000)[0]).to.be.above(0.3);
	});

	it('sends little to a restarted engine until it is measured', () => {
		const share = measureShares([createView('a'), createView('b', 40), createView('c', 40)], 100)[0];
		expect(share).to.be.within(0.01, 0.1);
	});

	it('waits while all engines were just reported full, and not for longer than reports hold', () => {
		const full = {running: slots, waiting: 12, slowdown: 1};
		const views = [createView('a', 40, full), createView('b', 40, full)];
		expect(choosePlainEngine(views, new Set(), 20, () => 0.5)).to.equal(undefined);
		expect(choosePlainEngine(views, new Set(), 500, () => 0.5)).not.to.equal(undefined);
	});

	it('finds a request too late only when even the fastest engine is unlikely to answer in time', () => {
		const views = [createView('a', 40), createView('b', 80)];
		expect(isTooLateFor(1011, views, 1000)).to.equal(true);
		expect(isTooLateFor(1020, views, 1000)).to.equal(false);
	});

	it('leaves the choice among engines that report none as it is', () => {
		const views = [createView('a', 40, {running: 1, waiting: 0}), createView('b', 40, {running: 1, waiting: 0})];
		expect(isTooLateFor(1001, views, 1000)).to.equal(false);
		expect(measureShares(views, 100)[0]).to.be.within(0.49, 0.51);
	});
});
