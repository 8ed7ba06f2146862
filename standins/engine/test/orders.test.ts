import {expect} from 'chai';
import {engineRole} from '../../../src/deployment/index.js';
import {NotRunError, OrderRefusedError, StaleFenceError} from '../../../src/errors/index.js';
import {enginePhase, orderKind} from '../../../src/upstreams/index.js';
import type {Order} from '../../../src/upstreams/index.js';
import {engineEvent} from '../index.js';
import {
	CollectingSink, createEngine, createRequest, listRows,
} from './help.js';

const target = {
	role: engineRole.decode, model: 'contracts', version: '1', adapters: [],
};

function createOrder(id: string, fence: number, kind: Order['kind'] = orderKind.seal): Order {
	return kind === orderKind.configure
		? {
			id, fence, kind, target,
		}
		: {id, fence, kind};
}

describe('orders to an engine', () => {
	it('with a stale fence are refused and change nothing', () => {
		const {core} = createEngine();
		core.applyOrder(createOrder('o1', 5));
		expect(() => core.applyOrder(createOrder('o2', 4, orderKind.drain))).to.throw(StaleFenceError);
		expect(core.getState()).to.include({phase: enginePhase.ready, fence: 5, lastOrder: 'o1'});
		expect(listRows(core, engineEvent.orderRefused).map(row => row.id)).to.deep.equal(['o2']);
		core.close();
	});

	it('take effect with any fence on an engine that ignores fences', () => {
		const {core} = createEngine({isFenced: false});
		core.applyOrder(createOrder('o1', 5));
		expect(core.applyOrder(createOrder('o2', 4, orderKind.drain))).to.include({phase: enginePhase.draining, fence: 0, lastOrder: 'o2'});
		core.close();
	});

	it('take effect once when repeated', async () => {
		const {timers, core} = createEngine();
		core.applyOrder(createOrder('o1', 1, orderKind.configure));
		core.applyOrder(createOrder('o1', 1, orderKind.configure));
		await timers.advance(10_000);
		core.applyOrder(createOrder('o1', 1, orderKind.configure));
		expect(core.getState().phase).to.equal(enginePhase.ready);
		expect(listRows(core, engineEvent.orderApplied)).to.have.length(1);
		core.close();
	});

	it('to drain let running requests end, and new ones are refused as not run', async () => {
		const {timers, core} = createEngine();
		const sink = new CollectingSink();
		core.startRequest(createRequest('r1'), sink);
		core.applyOrder(createOrder('o1', 1, orderKind.drain));
		expect(() => core.startRequest(createRequest('r2'), new CollectingSink())).to.throw(NotRunError);
		await timers.advance(5000);
		expect(sink.isComplete).to.equal(true);
		expect(core.getState().running).to.equal(0);
		core.applyOrder(createOrder('o2', 1, orderKind.resume));
		core.startRequest(createRequest('r3'), new CollectingSink());
		expect(listRows(core, engineEvent.requestStarted)).to.have.length(2);
		core.close();
	});

	it('to configure take seconds, in which requests and other orders are refused', async () => {
		const {timers, core} = createEngine();
		expect(core.applyOrder(createOrder('o1', 1, orderKind.configure)).phase).to.equal(enginePhase.away);
		await timers.advance(2900);
		expect(() => core.startRequest(createRequest('r1'), new CollectingSink())).to.throw(NotRunError);
		expect(() => core.applyOrder(createOrder('o2', 1, orderKind.drain))).to.throw(OrderRefusedError);
		expect(core.getState()).to.include({phase: enginePhase.away, role: engineRole.mixed, lastOrder: ''});
		await timers.advance(200);
		expect(core.getState()).to.include({phase: enginePhase.ready, role: engineRole.decode, lastOrder: 'o1'});
		core.close();
	});

	it('to configure cut running requests, and the journal records it', async () => {
		const {timers, core} = createEngine();
		const sink = new CollectingSink();
		core.startRequest(createRequest('r1', {maxTokens: 4000}), sink);
		await timers.advance(500);
		core.applyOrder(createOrder('o1', 1, orderKind.configure));
		expect(sink.cutReason).to.be.a('string');
		expect(listRows(core, engineEvent.requestCut).map(row => row.id)).to.deep.equal(['r1']);
		core.close();
	});

	it('are lost in a crash during a configure order, as is the rest of the state', async () => {
		const {timers, core} = createEngine();
		const before = core.getState().incarnation;
		core.applyOrder(createOrder('o0', 7));
		core.crashInChangeMs = 1000;
		core.applyOrder(createOrder('o1', 7, orderKind.configure));
		await timers.advance(60_000);
		const state = core.getState();
		expect(state).to.include({
			phase: enginePhase.ready, role: engineRole.mixed, fence: 0, lastOrder: '',
		});
		expect(state.incarnation).to.be.greaterThan(before);
		expect(listRows(core, engineEvent.orderApplied).map(row => row.id)).to.deep.equal(['o0']);
		core.close();
	});

	it('to configure another version of a model take the time to load its weights', async () => {
		const {timers, core} = createEngine();
		core.applyOrder({...createOrder('o1', 1, orderKind.configure), target: {...target, version: '2'}});
		await timers.advance(6900);
		expect(core.getState().phase).to.equal(enginePhase.away);
		await timers.advance(200);
		expect(core.getState()).to.include({phase: enginePhase.ready, version: '2'});
		core.close();
	});
});
