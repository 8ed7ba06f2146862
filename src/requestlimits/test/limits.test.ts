import {expect} from 'chai';
import fc from 'fast-check';
import {RequestLimits, RequestPermits} from '../index.js';
import type {RequestLimitChange} from '../index.js';

const engine = {service: 'llm', id: 'd1'};
const none = Number.POSITIVE_INFINITY;
const seed = 30;

describe('RequestLimits', () => {
	it('lifts or raises a limit only by answers to requests that were sent after it was named', () => {
		const limits = new RequestLimits();
		limits.onAnswer(engine, 5, 90, 100);
		limits.onAnswer(engine, none, 95, 110);
		limits.onAnswer(engine, 8, 95, 111);
		expect(limits.getPerSecond(engine)).to.equal(5);
		limits.onAnswer(engine, 3, 95, 112);
		expect(limits.getPerSecond(engine)).to.equal(3);
		limits.onAnswer(engine, none, 113, 120);
		expect(limits.isLimited(engine)).to.equal(false);
	});

	it('keeps the later of two observations, and the lower one where their order is not known', () => {
		const limits = new RequestLimits();
		limits.onAnswer(engine, 5, 0, 1000);
		expect(limits.merge([{...engine, perSecond: 9, ageMs: 800}], 1000)).to.deep.equal([{...engine, perSecond: 5, ageMs: 0}]);
		limits.merge([{...engine, perSecond: 9, ageMs: 0}], 1100);
		expect(limits.getPerSecond(engine)).to.equal(5);
		limits.merge([{...engine, perSecond: 4, ageMs: 0}], 1100);
		expect(limits.getPerSecond(engine)).to.equal(4);
		limits.merge([{...engine, perSecond: 9, ageMs: 0}], 1400);
		expect(limits.getPerSecond(engine)).to.equal(9);
	});

	it('reports a limit that changes with each answer at most five times a second, and its beginning and end at once', () => {
		const limits = new RequestLimits();
		const changes: RequestLimitChange[] = [];
		limits.subscribe(change => {
			changes.push(change);
		});
		for (let now = 0; now < 1000; now += 10) {
			limits.onAnswer(engine, 5 + (now / 1000), now, now);
		}

		expect(changes).to.have.lengthOf.within(4, 6);
		limits.onAnswer(engine, none, 1000, 1001);
		expect(changes.at(-1)?.perSecond).to.equal(none);
	});

	it('remembers a bounded number of engines', () => {
		const limits = new RequestLimits();
		for (let index = 0; index < 5000; index++) {
			limits.onAnswer({service: 'llm', id: `d${index}`}, 5, 0, 0);
		}

		expect(limits.list(0)).to.have.lengthOf(4096);
	});
});

describe('RequestPermits', () => {
	it('grants no more than its limits and a burst allow, whatever the limits, shares and times of the requests', () => {
		const steps = fc.array(fc.record({
			afterMs: fc.integer({min: 0, max: 400}), tries: fc.integer({min: 1, max: 20}), perSecond: fc.option(fc.double({min: 0.1, max: 40, noNaN: true}), {freq: 8}),
		}), {minLength: 5, maxLength: 80});
		fc.assert(fc.property(steps, fc.double({min: 0.1, max: 1, noNaN: true}), (run, share) => {
			const limits = new RequestLimits();
			const permits = new RequestPermits(limits, () => share);
			limits.onAnswer(engine, 10, 0, 0);
			let now = 0;
			let allowed = 3;
			let granted = 0;
			for (const {afterMs, tries, perSecond} of run) {
				allowed += afterMs * limits.getPerSecond(engine) * share / 1000;
				now += afterMs;
				for (let index = 0; index < tries; index++) {
					granted += permits.tryTake(engine, now) ? 1 : 0;
				}

				if (perSecond !== null) {
					limits.onAnswer(engine, perSecond, now, now);
				}
			}

			expect(granted).to.be.at.most(allowed + 1e-6);
		}), {seed});
	});
});
