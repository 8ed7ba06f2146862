import {expect} from 'chai';
import {PlainLoadRun} from '../plainload.js';
import type {PlainLoadOptions, PlainLoadResult} from '../plainload.js';

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

/** Runs the load with several seeds and computes the means of the results. */
function measureMean(options: Omit<PlainLoadOptions, 'seed' | 'seconds'>): Pick<PlainLoadResult, 'onTime' | 'late' | 'refused' | 'p99'> {
	const results = seeds.map(seed => new PlainLoadRun({...options, seed, seconds: 70}).run());
	const getMean = (select: (result: PlainLoadResult) => number) => results.reduce((sum, result) => sum + select(result), 0) / results.length;
	return {
		onTime: getMean(({onTime}) => onTime), late: getMean(({late}) => late), refused: getMean(({refused}) => refused), p99: getMean(({p99}) => p99),
	};
}

describe('placement of plain calls by load reports', function () {
	this.timeout(60_000);

	const passing = {groupSize: 21, delayMs: 50};
	const cases: Array<readonly [string, Omit<PlainLoadOptions, 'seed' | 'seconds' | 'isReporting'>]> = [
		['on engines of speeds 0.55 to 1.2', {}],
		['on these, with 194 calls a second', {perSecond: 194}],
		['on engines that are alike and slow', {speeds: [0.55, 0.55, 0.55]}],
		['while the fastest engine is lost for 5 s', {lost: {from: 40, to: 45}}],
	];
	for (const [title, options] of cases) {
		it(`has fewer late calls than the choice without reports, and fewer yet where entries pass reports on, ${title}`, () => {
			const before = measureMean({...options, isReporting: false});
			const alone = measureMean({...options, isReporting: true});
			const passed = measureMean({...options, isReporting: true, passing});
			expect(alone.late + alone.refused).to.be.below((before.late + before.refused) * 1.02);
			expect(passed.late + passed.refused).to.be.below((before.late + before.refused) * 0.75);
			expect(passed.p99).to.be.below(before.p99);
			expect(passed.refused).to.be.below(0.005);
		});
	}

	it('does not refuse calls for good when all engines were once full', () => {
		const result = measureMean({isReporting: true, passing, perSecond: 330});
		expect(result.onTime + result.late).to.be.above(0.5);
	});
});

describe('hedged requests beside the placement by load reports', function () {
	this.timeout(60_000);

	const base = {
		isReporting: true, passing: {groupSize: 21, delayMs: 50}, seconds: 150, entryCount: 6, targetMs: 800,
	};

	for (const extraShare of [0.01, 0.02, 0.05]) {
		it(`spend no more than a share of ${extraShare} at any entry, and some of it`, () => {
			for (const seed of seeds.slice(0, 3)) {
				const result = new PlainLoadRun({...base, seed, extraShare}).run();
				expect(result.maxSpentShare).to.be.within(extraShare / 4, extraShare);
			}
		});
	}

	it('shorten the slowest answers', () => {
		const getMeanP99 = (extraShare: number) => seeds.reduce((sum, seed) => sum + new PlainLoadRun({...base, seed, extraShare}).run().p99, 0) / seeds.length;
		expect(getMeanP99(0.05)).to.be.below(getMeanP99(0) * 0.97);
	});

	it('are not sent under overload', () => {
		const result = new PlainLoadRun({
			...base, seed: 1, extraShare: 0.05, speeds: [0.55, 0.55, 0.55], perSecond: 230,
		}).run();
		expect(result.extraSendShare).to.be.below(0.0005);
	});
});
