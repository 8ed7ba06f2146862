import {expect} from 'chai';
import fc from 'fast-check';
import {ManualTimers} from '../../timers/index.js';
import {WindowRetryBudget} from '../index.js';

const limit = {ratio: 0.2, windowMs: 10_000};
const seed = 21;

describe('WindowRetryBudget', () => {
	it('allows few retries without requests, and more with them', () => {
		const budget = new WindowRetryBudget(new ManualTimers(), limit);
		const countAllowed = () => Array.from({length: 100}, () => budget.tryTake('app')).filter(Boolean).length;
		expect(countAllowed()).to.equal(2);
		for (let index = 0; index < 100; index++) {
			budget.countRequest('app');
		}

		expect(countAllowed()).to.equal(16);
		expect(budget.tryTake('other')).to.equal(true);
	});

	it('forgets counts older than the window, and applies a new limit', async () => {
		const timers = new ManualTimers();
		const budget = new WindowRetryBudget(timers, limit);
		budget.tryTake('app');
		budget.tryTake('app');
		expect(budget.tryTake('app')).to.equal(false);
		await timers.advance(10_000);
		expect(budget.tryTake('app')).to.equal(true);
		budget.setLimit({ratio: 1, windowMs: 5000});
		expect(budget.tryTake('app')).to.equal(true);
	});

	it('keeps the retries of every window within the limit for any sequence of requests and tries', async () => {
		const steps = fc.array(fc.record({requests: fc.nat(20), tries: fc.nat(20), pauseMs: fc.integer({min: 1, max: 4000})}), {maxLength: 40});
		await fc.assert(fc.asyncProperty(steps, async run => {
			const timers = new ManualTimers();
			const budget = new WindowRetryBudget(timers, limit);
			const requests: number[] = [];
			const retries: number[] = [];
			for (const {requests: requestCount, tries, pauseMs} of run) {
				for (let index = 0; index < requestCount; index++) {
					budget.countRequest('app');
					requests.push(timers.getNow());
				}

				for (let index = 0; index < tries; index++) {
					if (budget.tryTake('app')) {
						retries.push(timers.getNow());
					}
				}

				await timers.advance(pauseMs);
			}

			const countIn = (times: readonly number[], from: number, to: number) => times.filter(time => time >= from && time < to).length;
			for (const from of retries) {
				// The limit is checked against this window's requests or those of a window that begins up to its length earlier, whichever are more.
				const mostRequests = Math.max(countIn(requests, from, from + 10_000), countIn(requests, from - 5000, from + 5000), countIn(requests, from - 10_000, from));
				expect(countIn(retries, from, from + 10_000)).to.be.at.most((2 * 0.2 * mostRequests) + 8);
			}
		}), {seed, numRuns: 60});
	});

	it('keeps the sum of the retries of many entries without requests within the slack', () => {
		const slack = 430;
		const entryCount = 400;
		let retries = 0;
		for (let index = 0; index < entryCount; index++) {
			const budget = new WindowRetryBudget(new ManualTimers(), {...limit, slack, entryCount});
			while (budget.tryTake('llm')) {
				retries++;
			}
		}

		expect(retries).to.be.at.most(slack);
	});
});
