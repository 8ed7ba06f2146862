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

	it('refuses requests whose engines are limited, each with a later time to return as long as callers can return by then', async () => {
		const timers = new ManualTimers();
		const limits = new RequestLimits();
		limits.onAnswer({service: request.service, id: 'd1'}, 10, 0, 0);
		const refusals = new RecentRefusals(timers, () => 0.5, limits);
		refusals.onLimited(request, 200);
		const listRetryAfter = (count: number) => Array.from({length: count}, () => {
			try {
				refusals.check(request);
				return 0;
			} catch (error) {
				return (error as {retryAfterMs: number}).retryAfterMs;
			}
		});
		// Callers with 1,800 ms left can return within 600 ms.
		expect(listRetryAfter(8)).to.deep.equal([200, 300, 400, 500, 600, 700, 700, 700]);
		await timers.advance(201);
		expect(listRetryAfter(1)).to.deep.equal([0]);
	});

	it('refuses no others when a request was limited that may not use all engines', () => {
		const limits = new RequestLimits();
		limits.onAnswer({service: request.service, id: 'd1'}, 10, 0, 0);
		const refusals = new RecentRefusals(new ManualTimers(), () => 0.5, limits);
		refusals.onLimited({...request, excludedEngines: ['d2']}, 200);
		refusals.check(request);
	});
});
