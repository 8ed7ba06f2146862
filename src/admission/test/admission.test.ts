import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {DeadlineAdmission, computeRetryAfterMs} from '../index.js';

const base = {
	service: 'contracts', remainingMs: 10_000, unloadedMs: 500, isEngineIdle: false,
};

describe('DeadlineAdmission', () => {
	it('refuses a request that would be late and admits one that would not', () => {
		const admission = new DeadlineAdmission(new ManualTimers(), new RandomSource(1));
		expect(admission.decide({...base, isPrefillHeavy: true, expectedMs: 12_000}).isAdmitted).to.equal(false);
		expect(admission.decide({...base, isPrefillHeavy: true, expectedMs: 3000}).isAdmitted).to.equal(true);
	});

	it('admits a request to an idle engine that only seems too slow, but not one that can\'t be in time', () => {
		const admission = new DeadlineAdmission(new ManualTimers(), new RandomSource(1));
		expect(admission.decide({
			...base, isPrefillHeavy: true, expectedMs: 12_000, isEngineIdle: true,
		}).isAdmitted).to.equal(true);
		expect(admission.decide({
			...base, isPrefillHeavy: true, expectedMs: 12_000, unloadedMs: 11_000, isEngineIdle: true,
		}).isAdmitted).to.equal(false);
	});

	for (const isPrefillHeavy of [true, false]) {
		it(`refuses part of the ${isPrefillHeavy ? 'prefill-heavy' : 'decode-heavy'} work when only the other class is ever late`, async () => {
			const timers = new ManualTimers();
			const admission = new DeadlineAdmission(timers, new RandomSource(1));
			let admitted = 0;
			for (let index = 0; index < 2000; index++) {
				await timers.advance(50);
				admission.decide({...base, isPrefillHeavy: !isPrefillHeavy, expectedMs: index % 10 === 0 ? 3000 : 12_000});
				const {isAdmitted} = admission.decide({...base, isPrefillHeavy, expectedMs: 3000});
				admitted += isAdmitted && index >= 1000 ? 1 : 0;
			}

			expect(admitted / 1000).to.be.within(0.15, 0.3);
		});
	}

	it('spreads retries between once and twice the backlog', () => {
		const random = new RandomSource(1);
		const times = Array.from({length: 200}, () => computeRetryAfterMs(4000, random));
		expect(Math.min(...times)).to.be.within(4000, 4200);
		expect(Math.max(...times)).to.be.within(7800, 8000);
	});
});
