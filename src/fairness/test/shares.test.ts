import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {CallerLimiter, computeLocalShare, FairShares} from '../index.js';

/** Runs callers, at `rates` requests per second, against a server that admits `capacity` per second; counts the requests that were served to each. */
async function runCallers(rates: Readonly<Record<string, number>>, capacity: number, hasShares: boolean) {
	const timers = new ManualTimers();
	const random = new RandomSource(3);
	const shares = new FairShares(timers, random);
	const served = new Map<string, number>();
	let room = 0;
	for (let step = 0; step < 3000; step++) {
		await timers.advance(10);
		room = Math.min(5, room + (capacity / 100));
		for (const [caller, rate] of Object.entries(rates)) {
			if (random.getRandom() >= rate / 100 || (hasShares && !shares.tryPass(caller, 100))) {
				continue;
			}

			if (room >= 1) {
				room--;
				served.set(caller, (served.get(caller) ?? 0) + 1);
			} else {
				shares.onRefused();
			}
		}
	}

	return served;
}

describe('FairShares', () => {
	it('brings a caller that sends most of the requests near the share of the others', async () => {
		const rates = {
			heavy: 60, one: 5, two: 5, three: 5,
		};
		const fair = await runCallers(rates, 16, true);
		const unfair = await runCallers(rates, 16, false);
		expect(unfair.get('one')! / 150).to.be.below(0.5);
		expect(fair.get('one')! / 150).to.be.above(0.6);
	});

	it('refuses nobody when there is enough capacity', async () => {
		const served = await runCallers({heavy: 20, one: 5}, 60, true);
		expect(served.get('heavy')!).to.be.above(500);
	});
});

describe('CallerLimiter', () => {
	const limits = {requestsPerSecond: 10, tokensPerSecond: 1000};

	it('grants its share of the requests and returns the time after which to retry', async () => {
		const timers = new ManualTimers();
		const limiter = new CallerLimiter(timers);
		let taken = 0;
		while (limiter.tryTake('cafe', 1, limits, 0.5).isWithinLimits) {
			taken++;
		}

		expect(taken).to.equal(10);
		const {waitMs} = limiter.tryTake('cafe', 1, limits, 0.5);
		await timers.advance(waitMs + 1);
		expect(limiter.tryTake('cafe', 1, limits, 0.5).isWithinLimits).to.equal(true);
	});

	it('counts tokens, and lets a request larger than the bucket pass once', () => {
		const limiter = new CallerLimiter(new ManualTimers());
		expect(limiter.tryTake('cafe', 5000, limits, 1).isWithinLimits).to.equal(true);
		expect(limiter.tryTake('cafe', 10, limits, 1).isWithinLimits).to.equal(false);
	});

	it('remembers a bounded number of callers', () => {
		const limiter = new CallerLimiter(new ManualTimers(), 100);
		for (let index = 0; index < 500; index++) {
			limiter.tryTake(`caller-${index}`, 1, limits, 1);
		}

		expect(limiter.size).to.equal(100);
	});
});

describe('computeLocalShare', () => {
	it('gives an entry that gets more than an equal share of the requests a larger share of the limits', () => {
		expect(computeLocalShare(4, 10, 40)).to.be.closeTo(0.3125, 0.001);
		expect(computeLocalShare(4, 20, 40)).to.be.closeTo(0.625, 0.001);
		expect(computeLocalShare(1, 40, 40)).to.equal(1);
	});
});
