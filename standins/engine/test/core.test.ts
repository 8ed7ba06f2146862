import {expect} from 'chai';
import {engineRole} from '../../../src/deployment/index.js';
import {NotRunError} from '../../../src/errors/index.js';
import {Answer, engineEvent, hashAnswerText} from '../index.js';
import {
	CollectingSink, createEngine, createRequest, listRows,
} from './help.js';

describe('an engine\'s stand-in', () => {
	it('completes an answer, the same in every role, and records the hash of its text in the journal', async () => {
		const texts: string[] = [];
		for (const role of Object.values(engineRole)) {
			const {timers, core} = createEngine({
				setup: {
					role, model: 'contracts', version: '1', adapters: [],
				},
			});
			const sink = new CollectingSink();
			core.startRequest(createRequest('r1'), sink);
			await timers.advance(5000);
			expect(sink.isComplete).to.equal(true);
			expect(listRows(core, engineEvent.requestEnded)[0]?.hash).to.equal(hashAnswerText(sink.text));
			texts.push(sink.text);
			core.close();
		}

		expect(new Set(texts).size).to.equal(1);
	});

	it('continues an answer at an offset with the tokens that any engine would generate', async () => {
		const {timers, core} = createEngine();
		const request = createRequest('r1', {offset: 7});
		const sink = new CollectingSink();
		core.startRequest(request, sink);
		await timers.advance(5000);
		const answer = new Answer(request);
		expect(sink.events).to.deep.equal(Array.from({length: answer.tokenCount - 6}, (_item, index) => answer.getEvent(index + 7)));
		core.close();
	});

	it('attaches a connection to a request that it already has, without running it again', async () => {
		const {timers, core} = createEngine();
		const request = createRequest('r1');
		const first = new CollectingSink();
		const detach = core.startRequest(request, first);
		await timers.advance(100);
		expect(first.events.length).to.be.greaterThan(0);
		detach();
		const second = new CollectingSink();
		core.startRequest({...request, offset: first.events.length}, second);
		await timers.advance(5000);
		expect(second.isComplete).to.equal(true);
		expect(hashAnswerText(first.text + second.text)).to.equal(listRows(core, engineEvent.requestEnded)[0]?.hash);
		const third = new CollectingSink();
		core.startRequest(request, third);
		expect(third.text).to.equal(first.text + second.text);
		expect(listRows(core, engineEvent.requestStarted)).to.have.length(1);
		core.close();
	});

	it('cancels a request when no connection attaches to it in time', async () => {
		const {timers, core} = createEngine({reattachTimeoutMs: 500});
		const detach = core.startRequest(createRequest('r1', {maxTokens: 2000}), new CollectingSink());
		await timers.advance(100);
		detach();
		await timers.advance(499);
		expect(listRows(core, engineEvent.requestCancelled)).to.have.length(0);
		await timers.advance(1);
		expect(listRows(core, engineEvent.requestCancelled)).to.have.length(1);
		expect(core.getState().running).to.equal(0);
		core.close();
	});

	it('refuses requests that it cannot run as not run, and starts none of them', async () => {
		const {timers, core} = createEngine({pieces: 4, maxWaitingRequests: 1});
		const unacceptable = [{model: 'other'}, {version: '2'}, {adapter: 'none'}, {maxTokens: 5000}];
		for (const overrides of unacceptable) {
			expect(() => core.startRequest(createRequest('bad', overrides), new CollectingSink())).to.throw(NotRunError);
		}

		core.startRequest(createRequest('r1', {promptTokens: 3900}), new CollectingSink());
		core.startRequest(createRequest('r2', {promptTokens: 3900}), new CollectingSink());
		expect(() => core.startRequest(createRequest('r3'), new CollectingSink())).to.throw(NotRunError);
		await timers.advance(60_000);
		expect(listRows(core, engineEvent.requestStarted).map(row => row.id)).to.deep.equal(['r1', 'r2']);
		core.close();
	});

	it('runs the higher priority first when KV cache capacity is short', async () => {
		const {timers, core} = createEngine({pieces: 4});
		for (const [id, priority] of [['first', 0], ['low', 0], ['high', 5]] as const) {
			core.startRequest(createRequest(id, {promptTokens: 3900, priority}), new CollectingSink());
		}

		await timers.advance(60_000);
		expect(listRows(core, engineEvent.requestEnded).map(row => row.id)).to.deep.equal(['first', 'high', 'low']);
		core.close();
	});

	it('skips the prefill of a cached prefix, and publishes cache events late and with gaps', async () => {
		const {timers, core} = createEngine({cacheLagMs: 300});
		const request = createRequest('r1', {promptTokens: 20_000});
		const measure = async (id: string) => {
			const start = timers.getNow();
			let firstTokenMs = 0;
			core.startRequest({...request, id}, {
				onEvent() {
					firstTokenMs ||= timers.getNow() - start;
				},
				onCut: () => undefined,
			});
			await timers.advance(299);
			const earlyEventCount = core.listCacheEvents(0).events.length;
			await timers.advance(10_000);
			return {firstTokenMs, earlyEventCount};
		};

		const cold = await measure('r1');
		const warm = await measure('r2');
		expect(warm.firstTokenMs).to.be.lessThan(cold.firstTokenMs / 5);
		expect(cold.earlyEventCount).to.equal(0);
		const sequences = core.listCacheEvents(0).events.map(event => event.sequence);
		expect(sequences).to.have.length.greaterThan(50);
		expect(sequences.at(-1)).to.be.greaterThan(sequences.length);
		core.close();
	});

	it('skips the prefill with an imported KV cache, but only for the same prompt', async () => {
		const {timers, core} = createEngine();
		const source = createEngine();
		const request = createRequest('r1', {promptTokens: 20_000});
		const exported = source.core.exportKv(request);
		await source.timers.advance(10_000);
		const {handle: held} = await exported;
		const record = source.core.kv.findRecord(held)!;
		const imported = core.importKv(record);
		await timers.advance(1000);
		const {handle} = await imported;
		const warm = new CollectingSink();
		const cold = new CollectingSink();
		core.startRequest({...request, kv: handle}, warm);
		await timers.advance(100);
		core.startRequest(createRequest('r2', {promptTokens: 20_000, kv: handle}), cold);
		await timers.advance(100);
		expect(warm.events.length).to.be.greaterThan(0);
		expect(cold.events).to.have.length(0);
		core.close();
		source.core.close();
	});

	it('publishes its load late', async () => {
		const {timers, core} = createEngine({loadLagMs: 300});
		core.startRequest(createRequest('r1', {maxTokens: 4000}), new CollectingSink());
		await timers.advance(250);
		expect(core.getLoad().running).to.equal(0);
		await timers.advance(250);
		expect(core.getLoad().running).to.equal(1);
		core.close();
	});
});
