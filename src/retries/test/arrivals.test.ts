import {expect} from 'chai';
import fc from 'fast-check';
import {ManualTimers} from '../../timers/index.js';
import {ArrivalBudget} from '../index.js';

const bound = {ratio: 0.2, windowMs: 10_000};
const seed = 21;

describe('ArrivalBudget', () => {
	it('allows few further sends without requests, and more with them', () => {
		const budget = new ArrivalBudget(new ManualTimers(), bound);
		const countAllowed = () => Array.from({length: 100}, () => budget.tryTake('app')).filter(Boolean).length;
		expect(countAllowed()).to.equal(2);
		for (let index = 0; index < 100; index++) {
			budget.countRequest('app');
		}

		expect(countAllowed()).to.equal(16);
		expect(budget.tryTake('other')).to.equal(true);
	});

	it('forgets what is older than the window, and takes another bound', async () => {
		const timers = new ManualTimers();
		const budget = new ArrivalBudget(timers, bound);
		budget.tryTake('app');
		budget.tryTake('app');
		expect(budget.tryTake('app')).to.equal(false);
		await timers.advance(10_000);
		expect(budget.tryTake('app')).to.equal(true);
		budget.setBound({ratio: 1, windowMs: 5000});
		expect(budget.tryTake('app')).to.equal(true);
	});

	it('keeps every window within the bound of any run of requests and tries', async () => {
		const steps = fc.array(fc.record({requests: fc.nat(20), tries: fc.nat(20), pauseMs: fc.integer({min: 1, max: 4000})}), {maxLength: 40});
		await fc.assert(fc.asyncProperty(steps, async run => {
			const timers = new ManualTimers();
			const budget = new ArrivalBudget(timers, bound);
			const requests: number[] = [];
			const extras: number[] = [];
			for (const {requests: asked, tries, pauseMs} of run) {
				for (let index = 0; index < asked; index++) {
					budget.countRequest('app');
					requests.push(timers.getNow());
				}

				for (let index = 0; index < tries; index++) {
					if (budget.tryTake('app')) {
						extras.push(timers.getNow());
					}
				}

				await timers.advance(pauseMs);
			}

			const countIn = (times: readonly number[], from: number, to: number) => times.filter(time => time >= from && time < to).length;
			for (const from of extras) {
				// The judge takes the requests of the window, or of one beginning up to a window earlier, whichever has most.
				const best = Math.max(countIn(requests, from, from + 10_000), countIn(requests, from - 5000, from + 5000), countIn(requests, from - 10_000, from));
				expect(countIn(extras, from, from + 10_000)).to.be.at.most((2 * 0.2 * best) + 8);
			}
		}), {seed, numRuns: 60});
	});
});
