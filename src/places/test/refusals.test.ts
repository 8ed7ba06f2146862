import {expect} from 'chai';
import {NotRunError} from '../../errors/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {ManualTimers} from '../../timers/index.js';
import {RecentRefusals} from '../index.js';
import type {ReservationRequest} from '../index.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest();

describe('RecentRefusals', () => {
	it('refuses requests of a refused kind for a short time, with a time to retry after', async () => {
		const timers = new ManualTimers();
		const refusals = new RecentRefusals(timers, () => 0.5, new RequestLimits());
		refusals.check(request);
		refusals.onAnswer(request, false, 1);
		expect(() => {
			refusals.check(request);
		}).to.throw(NotRunError).with.property('retryAfterMs').within(300, 600);
		await timers.advance(20);
		refusals.check(request);
	});

	it('distinguishes late requests, long ones and services, and drops a refusal after a grant', () => {
		const timers = new ManualTimers();
		const refusals = new RecentRefusals(timers, () => 0.5, new RequestLimits());
		const late = {...request, targetMs: -1};
		refusals.onAnswer(late, false, 1);
		refusals.check(request);
		refusals.check({...late, outputTokens: 5000});
		refusals.check({...late, service: 'other'});
		refusals.onAnswer(late, true, 1);
		refusals.check(late);
	});
});
