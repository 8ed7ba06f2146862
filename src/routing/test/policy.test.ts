import {expect} from 'chai';
import type {Deployment, Upstream} from '../../deployment/index.js';
import {NotRunError, refusalReason} from '../../errors/index.js';
import {FactTable, upstreamState} from '../../feed/index.js';
import {DemandMeter} from '../../loads/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import type {LoadReport} from '../../upstreams/index.js';
import {
	createPolicy, FleetView, placementOutcome,
} from '../index.js';
import type {Work} from '../index.js';

const none = new Set<string>();

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
	const policy = createPolicy({
		timers, random: new RandomSource(7), facts, view, demand: new DemandMeter(timers), getLocalShare: () => 1,
	});
	let count = 0;
	const createWork = (change: Partial<Work> = {}): Work => ({
		id: `request-${count++}`,
		caller: 'cafe',
		service: 'contracts',
		model: 'contracts',
		version: '1',
		promptTokens: 400,
		maxTokens: 50,
		prefixes: [],
		priority: 0,
		firstTokenDue: timers.getNow() + 900,
		due: timers.getNow() + 5000,
		...change,
	});
	return {
		timers, facts, createWork, ...policy,
	};
}

describe('PolicyRouter', () => {
	it('goes round an engine whose report shows a queue', () => {
		const {router, facts, createWork} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(40_000),
		});
		facts.merge({
			kind: 'load', key: 'e2', version: 1, value: createReport(0),
		});
		for (let index = 0; index < 20; index++) {
			expect(router.choosePlacement(createWork(), none).upstream.id).to.equal('e2');
		}
	});

	it('adds its own work since a late report, so that it does not pile up on one engine', () => {
		const {router, facts, createWork} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(3000),
		});
		facts.merge({
			kind: 'load', key: 'e2', version: 1, value: createReport(0),
		});
		for (let index = 0; index < 20; index++) {
			const work = createWork({promptTokens: 1000, due: 60_000});
			router.onSent(work, router.choosePlacement(work, none));
		}

		expect(router.countRunning('e1')).to.be.within(6, 11);
	});

	it('refuses at once what would be late, as not run and with a time to come back that spreads', () => {
		const {router, facts, createWork} = createHarness([createUpstream('e1')]);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(400_000),
		});
		const times = new Set<number>();
		for (let index = 0; index < 20; index++) {
			try {
				router.choosePlacement(createWork(), none);
				expect.fail('admitted');
			} catch (error) {
				expect(error).to.be.instanceOf(NotRunError);
				expect((error as {reason: string}).reason).to.equal(refusalReason.deadline);
				times.add((error as {retryAfterMs: number}).retryAfterMs);
			}
		}

		expect(times.size).to.be.above(15);
	});

	it('sends nothing to an upstream that closes', () => {
		const {router, facts, createWork} = createHarness([createUpstream('e1'), createUpstream('e2')]);
		facts.merge({
			kind: 'upstream', key: 'e1', version: 1, value: {state: upstreamState.closing},
		});
		for (let index = 0; index < 20; index++) {
			expect(router.choosePlacement(createWork(), none).upstream.id).to.equal('e2');
		}

		expect(router.isOpen('e1')).to.equal(false);
	});

	it('leaves a failing engine alone and lets a single trial through when it comes back', async () => {
		const {router, timers, createWork} = createHarness([createUpstream('e1')]);
		for (let index = 0; index < 2; index++) {
			const work = createWork();
			const placement = router.choosePlacement(work, none);
			router.onSent(work, placement);
			router.onEnd(work, placement, placementOutcome.broken);
		}

		expect(() => router.choosePlacement(createWork(), none)).to.throw(NotRunError).with.property('reason', refusalReason.unavailable);
		await timers.advance(2000);
		const trial = createWork();
		const placement = router.choosePlacement(trial, none);
		router.onSent(trial, placement);
		expect(() => router.choosePlacement(createWork(), none)).to.throw(NotRunError);
		router.onTokens(trial, placement, 1);
		router.onEnd(trial, placement, placementOutcome.done);
		expect(router.choosePlacement(createWork(), none).upstream.id).to.equal('e1');
	});

	it('spills over only when the own failure domain would be late', () => {
		const {router, facts, createWork} = createHarness([createUpstream('e1'), createUpstream('e9', 'kigali-2')]);
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
		expect(router.choosePlacement(createWork(), none).via).to.equal(undefined);
		facts.merge({
			kind: 'load', key: 'e1', version: 1, value: createReport(400_000),
		});
		const placement = router.choosePlacement(createWork(), none);
		expect(placement.upstream.id).to.equal('e9');
		expect(placement.via).to.equal('127.0.0.1:99');
	});

	it('holds a caller to its limit and leaves the others alone', () => {
		const {router, createWork} = createHarness([createUpstream('e1')], 2);
		for (let index = 0; index < 4; index++) {
			router.choosePlacement(createWork(), none);
		}

		expect(() => router.choosePlacement(createWork(), none)).to.throw(NotRunError).with.property('reason', refusalReason.callerLimit);
		expect(router.choosePlacement(createWork({caller: 'clerk'}), none).upstream.id).to.equal('e1');
	});

	it('counts its requests back to none', () => {
		const {router, createWork} = createHarness([createUpstream('e1')]);
		const work = createWork();
		const placement = router.choosePlacement(work, none);
		router.onSent(work, placement);
		expect(router.countRunning('e1')).to.equal(1);
		router.onEnd(work, placement, placementOutcome.cancelled);
		expect(router.countRunning('e1')).to.equal(0);
	});
});
