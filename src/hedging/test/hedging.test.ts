import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {ExtraSends, TimeQuantiles} from '../index.js';

type Result = {readonly p50: number; readonly p99: number; readonly p999: number; readonly spent: number; readonly sentShare: number};

/** Sends requests one after the other of which one in fifty is held up for 400 ms by its engine; what further engines take is drawn anew. */
function measure(share: number, seed: number, requestCount = 20_000): Result {
	const random = new RandomSource(seed);
	const extraSends = share > 0 ? new ExtraSends(share) : undefined;
	const pickMs = () => (20 * Math.exp(random.pickBetween(-0.7, 0.7))) + (random.getRandom() < 0.02 ? 400 : 0);
	const times: number[] = [];
	let maxSpent = 0;
	for (let index = 0; index < requestCount; index++) {
		const firstMs = pickMs();
		const expectedMs = 22;
		let totalMs = firstMs;
		let elapsedMs = extraSends?.computeDelayMs('app', expectedMs) ?? Number.POSITIVE_INFINITY;
		while (elapsedMs < firstMs) {
			const loserMs = elapsedMs + expectedMs;
			if (extraSends!.isSooner('app', {elapsedMs, expectedMs, furtherMs: expectedMs}) && extraSends!.isCovered(loserMs)) {
				const send = extraSends!.start(loserMs, elapsedMs);
				const furtherMs = pickMs();
				const isWon = furtherMs <= send.maxMs && elapsedMs + furtherMs < firstMs;
				totalMs = isWon ? elapsedMs + furtherMs : firstMs;
				send.finish(isWon, isWon ? totalMs : Math.min(totalMs - elapsedMs, send.maxMs));
				break;
			}

			elapsedMs += extraSends!.computeRecheckMs(elapsedMs);
		}

		extraSends?.onAnswer('app', totalMs, expectedMs);
		times.push(totalMs);
		maxSpent = Math.max(maxSpent, extraSends?.computeSpentShare() ?? 0);
	}

	times.sort((left, right) => left - right);
	const getQuantile = (quantile: number) => times[Math.floor(times.length * quantile)]!;
	return {
		p50: getQuantile(0.5), p99: getQuantile(0.99), p999: getQuantile(0.999), spent: maxSpent, sentShare: (extraSends?.counts.sent ?? 0) / requestCount,
	};
}

describe('ExtraSends', () => {
	for (const seed of [1, 2, 3]) {
		it(`shortens the tail with the share, and never exceeds it (seed ${seed})`, () => {
			const [none, one, two, five, ten] = [0, 0.01, 0.02, 0.05, 0.1].map(share => measure(share, seed));
			expect([none!.spent, none!.sentShare]).to.deep.equal([0, 0]);
			expect(one!.spent).to.be.within(0.004, 0.01);
			expect(two!.spent).to.be.within(0.01, 0.02);
			expect(five!.spent).to.be.within(0.02, 0.05);
			expect(ten!.spent).to.be.below(0.1);
			expect(none!.p99).to.be.above(400);
			expect(five!.p99).to.be.below(none!.p99 / 2);
			expect(five!.p50).to.be.below(none!.p50 * 1.05);
		});
	}

	it('sends nothing before enough is measured, and saves up no more than a few sends', () => {
		const extraSends = new ExtraSends(0.05);
		expect(extraSends.computeDelayMs('app', 20)).to.equal(undefined);
		for (let index = 0; index < 1000; index++) {
			extraSends.onAnswer('app', 20 + (index % 10), 20);
		}

		let count = 0;
		while (extraSends.isCovered(40)) {
			extraSends.start(40, 20);
			count++;
		}

		expect(count).to.be.within(1, 3);
	});

	it('does not expect another engine to be sooner that is as slow as the rest of the request', () => {
		const extraSends = new ExtraSends(0.05);
		for (let index = 0; index < 100; index++) {
			extraSends.onAnswer('app', index < 90 ? 20 : 100, 20);
		}

		expect(extraSends.isSooner('app', {elapsedMs: 40, expectedMs: 20, furtherMs: 50})).to.equal(true);
		expect(extraSends.isSooner('app', {elapsedMs: 40, expectedMs: 20, furtherMs: 70})).to.equal(false);
	});
});

describe('TimeQuantiles', () => {
	it('keeps the latest times only', () => {
		const quantiles = new TimeQuantiles();
		for (let index = 0; index < 1000; index++) {
			quantiles.add(index);
		}

		expect(quantiles.count).to.equal(256);
		expect(quantiles.computeExceededBy(0.5)).to.equal(872);
		expect(quantiles.estimateRest(2000)).to.equal(0);
	});
});
