import {expect} from 'chai';
import type {Deployment, Upstream} from '../../deployment/index.js';
import {NotRunError, refusalReason} from '../../errors/index.js';
import {FactTable, upstreamState} from '../../feed/index.js';
import {DemandMeter} from '../../loads/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import type {LoadReport} from '../../upstreams/index.js';
import {
	createRouting, FleetView, placementOutcome,
} from '../index.js';
import type {RoutingRequest} from '../index.js';

const nothingExcluded = new Set<string>();

function createUpstream(id: string, domain = 'kigali-1'): Upstream {
	return {
		id, service: 'contracts', domain, address: '127.0.0.1:1', fenced: true, pieces: 64,
	};
}

function createReport(prefillTokens: number, sequence = 1): LoadReport {
	return {
		sequence, incarnation: 1, role: 'mixed', running: 0, waiting: 0, prefillTokens, decodeTokens: 0, piecesUsed: 0, pieces: 64,
	};
}

function createHarness(upstreams: readonly Upstream[], requestsPerSecond = 1000) {
	const timers = new ManualTimers();
	const facts = new FactTable();
	const deployment: Deployment = {
		name: 'umuhora', goodputWeight: 0.8, domains: ['kigali-1', 'kigali-2'], callers: {requestsPerSecond, tokensPerSecond: 1e9}, services: [], upstreams,
	};
	const view = new FleetView(facts, () => deployment, 'kigali-1');
	const routing = createRouting({
		timers, random: new RandomSource(7), facts, view, demand: new DemandMeter(timers), getLocalShare: () => 1,
	});
	let count = 0;
	const createRequest = (change: Partial<RoutingRequest> = {}): RoutingRequest => ({
		id: `request-${count++}`,
		caller: 'cafe',
		service: 'contracts',
		model: 'contracts',
		version: '1',
		promptTokens: 400,
		maxTokens: 50,
		prefixes: [],
		priority: 0,
		firstTokenTargetAt: timers.getNow() + 900,
		deadlineAt: timers.getNow() + 5000,
		...change,
	});
	return {
		timers, facts, createRequest, ...routing,
	};
}

describe('LatencyRouter', () => {
	it('avoids an engine whose load report shows a queue', () => {
		const {router, facts, createRequest} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(40_000),
		});
		facts.merge({
			kind: 'load', key: 'e2', version: 1, value: createReport(0),
		});
		for (let index = 0; index < 20; index++) {
			expect(router.choosePlacement(createRequest(), nothingExcluded).upstream.id).to.equal('e2');
		}
	});

	it('counts what it sent since the last load report, so that requests don\'t pile up on one engine', () => {
		const {router, facts, createRequest} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(3000),
		});
		facts.merge({
			kind: 'load', key: 'e2', version: 1, value: createReport(0),
		});
		for (let index = 0; index < 20; index++) {
			const request = createRequest({promptTokens: 1000, deadlineAt: 60_000});
			router.onSent(request, router.choosePlacement(request, nothingExcluded));
		}

		expect(router.countInFlight('e1')).to.be.within(6, 11);
	});

	it('refuses a request that would be late at once, as not run and with a randomized retry time', () => {
		const {router, facts, createRequest} = createHarness([createUpstream('e1')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(400_000),
		});
		const retryTimes = new Set<number>();
		for (let index = 0; index < 20; index++) {
			try {
				router.choosePlacement(createRequest(), nothingExcluded);
				expect.fail('admitted');
			} catch (error) {
				expect(error).to.be.instanceOf(NotRunError);
				expect((error as {reason: string}).reason).to.equal(refusalReason.deadline);
				retryTimes.add((error as {retryAfterMs: number}).retryAfterMs);
			}
		}

		expect(retryTimes.size).to.be.above(15);
	});

	it('sends nothing to an upstream that is closing', () => {
		const {router, facts, createRequest} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'upstream', key: 'e1', version: 1, value: {state: upstreamState.closing},
		});
		for (let index = 0; index < 20; index++) {
			expect(router.choosePlacement(createRequest(), nothingExcluded).upstream.id).to.equal('e2');
		}

		expect(router.isAvailable('e1')).to.equal(false);
	});

	it('sends nothing to a failing engine for a backoff, and then a single trial request', async () => {
		const {router, timers, createRequest} = createHarness([createUpstream('e1')]);
		for (let index = 0; index < 2; index++) {
			const request = createRequest();
			const placement = router.choosePlacement(request, nothingExcluded);
			router.onSent(request, placement);
			router.onEnd(request, placement, placementOutcome.broken);
		}

		expect(() => router.choosePlacement(createRequest(), nothingExcluded)).to.throw(NotRunError).with.property('reason', refusalReason.unavailable);
		await timers.advance(2000);
		const trial = createRequest();
		const placement = router.choosePlacement(trial, nothingExcluded);
		router.onSent(trial, placement);
		expect(() => router.choosePlacement(createRequest(), nothingExcluded)).to.throw(NotRunError);
		router.onTokens(trial, placement, 1);
		router.onEnd(trial, placement, placementOutcome.done);
		expect(router.choosePlacement(createRequest(), nothingExcluded).upstream.id).to.equal('e1');
	});

	it('chooses another failure domain only when the answer would be late in its own', () => {
		const {router, facts, createRequest} = createHarness([createUpstream('e1'), createUpstream('e9', 'kigali-2')]);
		facts.merge({
			kind: 'member',
			key: 'vm-9',
			version: 1,
			value: {
				vm: 'vm-9', domain: 'kigali-2', http: '127.0.0.1:99', peer: '127.0.0.1:98', incarnation: 1, state: 'live', configuration: 1, closed: {},
			},
		});
		facts.merge({
			kind: 'load', key: 'e9', version: 1, value: createReport(0),
		});
		expect(router.choosePlacement(createRequest(), nothingExcluded).relayAddress).to.equal(undefined);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(400_000),
		});
		const placement = router.choosePlacement(createRequest(), nothingExcluded);
		expect(placement.upstream.id).to.equal('e9');
		expect(placement.relayAddress).to.equal('127.0.0.1:99');
	});

	it('limits a caller without limiting the others', () => {
		const {router, createRequest} = createHarness([createUpstream('e1')], 2);
		for (let index = 0; index < 4; index++) {
			router.choosePlacement(createRequest(), nothingExcluded);
		}

		expect(() => router.choosePlacement(createRequest(), nothingExcluded)).to.throw(NotRunError).with.property('reason', refusalReason.callerLimit);
		expect(router.choosePlacement(createRequest({caller: 'clerk'}), nothingExcluded).upstream.id).to.equal('e1');
	});

	it('takes a further attempt at an admitted request for one also when no engine is excluded', () => {
		const {router, createRequest, timers} = createHarness([createUpstream('e1')], 2);
		const request = createRequest();
		for (let index = 0; index < 4; index++) {
			router.choosePlacement(request, nothingExcluded);
		}

		expect(router.choosePlacement(request, nothingExcluded, true).upstream.id).to.equal('e1');
		const late = createRequest({deadlineAt: timers.getNow() + 1});
		expect(router.choosePlacement(late, nothingExcluded, true).upstream.id).to.equal('e1');
		expect(() => router.choosePlacement(request, nothingExcluded)).to.throw(NotRunError).with.property('reason', refusalReason.callerLimit);
	});

	it('counts its requests in progress back down to 0', () => {
		const {router, createRequest} = createHarness([createUpstream('e1')]);
		const request = createRequest();
		const placement = router.choosePlacement(request, nothingExcluded);
		router.onSent(request, placement);
		expect(router.countInFlight('e1')).to.equal(1);
		router.onEnd(request, placement, placementOutcome.cancelled);
		expect(router.countInFlight('e1')).to.equal(0);
	});
});
