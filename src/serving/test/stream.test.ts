import {expect} from 'chai';
import fc from 'fast-check';
import {createAnswer, engineFault} from '../../../faults/fakes/streams.js';
import type {EngineFault} from '../../../faults/fakes/streams.js';
import {createUpstream, StreamWorld} from '../../../faults/fakes/streamworld.js';
import {
	BrokenAnswerError, CallerGoneError, DeadlineError, NotRunError, UnknownOutcomeError,
} from '../../errors/index.js';

const answerTokens = 12;
const resumableFaults: readonly EngineFault[] = [
	engineFault.refuse,
	engineFault.connectFails,
	engineFault.answerLost,
	engineFault.breaks,
	engineFault.silent,
	engineFault.foreign,
	engineFault.late,
	engineFault.gap,
	engineFault.noEnd,
];

describe('serveStream', () => {
	for (const fault of resumableFaults) {
		for (const at of [0, 5, 11]) {
			it(`returns the whole answer, each token once, despite "${fault}" after ${at} tokens`, async () => {
				const world = new StreamWorld();
				world.getEngine('e1').faults.push({fault, at});
				const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
				expect(record.error).to.equal(undefined);
				expect(record.text).to.equal(createAnswer('p', answerTokens));
				expect(record.end?.offset).to.equal(answerTokens);
				expect(world.router.ends).to.have.lengthOf(world.router.sent);
				expect(world.router.countInFlight('e1') + world.router.countInFlight('e2')).to.equal(0);
				expect(world.timers.countPending()).to.equal(0);
			});
		}
	}

	it('takes a request to no further engine once two have crashed under it', async () => {
		const world = new StreamWorld();
		for (const id of ['e1', 'e2']) {
			for (let index = 0; index < 8; index++) {
				world.getEngine(id).faults.push({fault: engineFault.breaks, at: 0}, {fault: engineFault.connectFails, at: 0});
			}
		}

		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.error).to.be.instanceOf(UnknownOutcomeError);
		expect(world.getEngine('e1').countStarted() + world.getEngine('e2').countStarted()).to.equal(2);
	});

	it('resumes at the same engine on a new connection after silence', async () => {
		const world = new StreamWorld();
		world.getEngine('e1').faults.push({fault: engineFault.silent, at: 5});
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		// One connection probes the engine, the other resumes the answer.
		expect(world.freshConnections).to.equal(2);
		expect(world.getEngine('e1').journal.filter(({event}) => event === 'started').map(({offset}) => offset)).to.deep.equal([0, 5]);
		expect(world.getEngine('e2').countStarted()).to.equal(0);
	});

	it('moves from an engine that stays silent to another one, and cancels at the silent one', async () => {
		const world = new StreamWorld();
		world.getEngine('e1').faults.push({fault: engineFault.silent, at: 5}, {fault: engineFault.silent, at: 2});
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		expect(world.getEngine('e2').journal[0]).to.include({event: 'started', offset: 7});
		expect(world.getEngine('e1').journal.filter(({event}) => event === 'cancelled')).to.have.lengthOf(1);
	});

	it('moves from an engine that answers no probe to another one, without a second try at the first', async () => {
		const world = new StreamWorld();
		world.getEngine('e1').isFrozen = true;
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		expect(world.getEngine('e1').countStarted()).to.equal(1);
		expect(world.timers.getNow()).to.be.below(1800 + 1000 + 500);
	});

	it('closes the engine\'s answer when a slow caller disconnects', async () => {
		const world = new StreamWorld();
		const record = world.start({request: world.createWork('r', 5000), prompt: 'p', offset: 0}, {}, {
			async onEvents() {
				await world.timers.sleep(5000);
			},
		});
		await world.timers.advance(100);
		expect(world.getEngine('e1').open).to.equal(1);
		world.abortCallers();
		await world.settle(record);
		expect(world.getEngine('e1').open).to.equal(0);
	});

	it('sends nothing to an engine that closed after it was chosen', async () => {
		const world = new StreamWorld();
		const record = world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}, {
			onBefore(step) {
				if (step.name === 'send the request' && world.version === 0) {
					world.publish('e1', 'closing');
				}
			},
		});
		await world.settle(record);
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		expect(world.getEngine('e1').countStarted()).to.equal(0);
	});

	it('throws NotRunError only when no engine has started the request', async () => {
		const refused = new StreamWorld();
		refused.getEngine('e1').faults.push({fault: engineFault.refuse, at: 0});
		refused.getEngine('e2').faults.push({fault: engineFault.refuse, at: 0});
		const first = await refused.settle(refused.start({request: refused.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(first.error).to.be.instanceOf(NotRunError);
		expect(refused.countStarted()).to.equal(0);
		const started = new StreamWorld();
		const refusals = Array.from({length: 20}, () => ({fault: engineFault.refuse, at: 0}));
		started.getEngine('e1').faults.push({fault: engineFault.breaks, at: 3}, ...refusals);
		started.getEngine('e2').faults.push(...refusals);
		const second = await started.settle(started.start({request: started.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(second.error).to.be.instanceOf(UnknownOutcomeError);
	});

	it('stops trying when the retry budget is spent', async () => {
		const world = new StreamWorld();
		world.router.retriesLeft = 0;
		world.getEngine('e1').faults.push({fault: engineFault.breaks, at: 0});
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.error).to.be.instanceOf(BrokenAnswerError);
		expect(world.countStarted()).to.equal(1);
	});

	it('resumes an answer of which the caller has a part even when the retry budget is spent, but only a bounded number of times', async () => {
		const world = new StreamWorld();
		world.router.retriesLeft = 0;
		world.getEngine('e1').faults.push({fault: engineFault.breaks, at: 3});
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		const broken = new StreamWorld();
		const breaks = Array.from({length: 50}, () => ({fault: engineFault.breaks, at: 0}));
		broken.getEngine('e1').faults.push({fault: engineFault.breaks, at: 3}, ...breaks);
		broken.getEngine('e2').faults.push(...breaks);
		const cut = await broken.settle(broken.start({request: broken.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(cut.end).to.equal(undefined);
		expect(broken.countStarted()).to.equal(8);
	});

	it('resumes at a silent engine that answers a probe, without charging the retry budget or counting a failure', async () => {
		const world = new StreamWorld();
		world.router.retriesLeft = 0;
		world.getEngine('e1').faults.push({fault: engineFault.silent, at: 0});
		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.text).to.equal(createAnswer('p', answerTokens));
		expect(world.router.ends).to.deep.equal([{upstream: 'e1', outcome: 'cancelled'}, {upstream: 'e1', outcome: 'done'}]);
	});

	it('fails at the deadline, not later, and cancels at the engine', async () => {
		const world = new StreamWorld();
		const request = {...world.createWork('r', answerTokens), deadlineAt: 1000};
		world.getEngine('e1').faults.push({fault: engineFault.silent, at: 0});
		const record = world.start({request, prompt: 'p', offset: 0});
		await world.timers.advance(999);
		expect(record.isSettled).to.equal(false);
		await world.timers.advance(1);
		expect(record.error).to.be.instanceOf(DeadlineError);
		expect(world.getEngine('e1').journal.at(-1)?.event).to.equal('cancelled');
	});

	it('cancels at the engine when the caller disconnects', async () => {
		const world = new StreamWorld();
		world.getEngine('e1').onToken = offset => {
			if (offset === 4) {
				world.abortCallers();
			}
		};

		const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
		expect(record.error).to.be.instanceOf(CallerGoneError);
		expect(world.getEngine('e1').journal.at(-1)?.event).to.equal('cancelled');
		expect(world.router.ends).to.deep.equal([{upstream: 'e1', outcome: 'cancelled'}]);
	});

	it('imports the KV cache from the prefill engine, and prefills at the decode engine when that fails', async () => {
		for (const isKvDown of [false, true]) {
			const world = new StreamWorld();
			world.router.prefill = createUpstream('e2');
			world.getEngine('e2').isKvDown = isKvDown;
			const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
			expect(record.text).to.equal(createAnswer('p', answerTokens));
			expect(world.getEngine('e1').journal.find(({event}) => event === 'started')?.kv).to.equal(isKvDown ? undefined : 'e2-1');
			expect(world.router.countInFlight('e2')).to.equal(0);
		}
	});

	it('buffers a bounded number of events for a slow caller', async () => {
		const world = new StreamWorld();
		let read = 0;
		world.getEngine('e1').onToken = () => {
			read++;
		};

		const record = world.start({request: world.createWork('r', 5000), prompt: 'p', offset: 0}, {}, {
			async onEvents() {
				await world.timers.sleep(1_000_000);
			},
		});
		await world.timers.advance(20_000);
		expect(record.isSettled).to.equal(false);
		expect(read).to.be.below(600);
	});

	it('ends with a whole answer or an error, and leaks no attempt or timer, under any order of faults', async () => {
		const plannedFault = fc.record({fault: fc.constantFrom(...resumableFaults), at: fc.nat(answerTokens)});
		await fc.assert(fc.asyncProperty(fc.array(plannedFault, {maxLength: 4}), fc.array(plannedFault, {maxLength: 4}), async (first, second) => {
			const world = new StreamWorld();
			world.getEngine('e1').faults.push(...first);
			world.getEngine('e2').faults.push(...second);
			const record = await world.settle(world.start({request: world.createWork('r', answerTokens), prompt: 'p', offset: 0}));
			expect(record.isSettled).to.equal(true);
			expect(createAnswer('p', answerTokens).startsWith(record.text)).to.equal(true);
			expect(record.end === undefined).to.equal(record.error !== undefined);
			expect(record.end !== undefined && record.text !== createAnswer('p', answerTokens)).to.equal(false);
			expect(record.error instanceof NotRunError && world.countStarted() > 0).to.equal(false);
			expect(world.router.ends).to.have.lengthOf(world.router.sent);
			expect(world.timers.countPending()).to.equal(0);
		}), {seed: 7, numRuns: 150});
	});
});
