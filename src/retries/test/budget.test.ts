import {expect} from 'chai';
import {ManualTimers} from '../../timers/index.js';
import {RetryBudget} from '../index.js';

describe('RetryBudget', () => {
	it('allows a tenth of recent successes and then a small minimum', async () => {
		const timers = new ManualTimers();
		const budget = new RetryBudget(timers);
		for (let index = 0; index < 100; index++) {
			budget.onSuccess('contracts');
		}

		let taken = 0;
		while (budget.tryTake('contracts')) {
			taken++;
		}

		expect(taken).to.equal(12);
	});

	it('does not grow with failures: without successes only the minimum is left', async () => {
		const timers = new ManualTimers();
		const budget = new RetryBudget(timers);
		let taken = 0;
		for (let second = 0; second < 60; second++) {
			for (let attempt = 0; attempt < 50; attempt++) {
				taken += budget.tryTake('contracts') ? 1 : 0;
			}

			await timers.advance(1000);
		}

		expect(taken).to.be.within(25, 35);
	});

	it('keeps the budgets of services apart', () => {
		const budget = new RetryBudget(new ManualTimers());
		while (budget.tryTake('contracts')) {
			// Use up the budget.
		}

		expect(budget.tryTake('refunds')).to.equal(true);
	});
});
