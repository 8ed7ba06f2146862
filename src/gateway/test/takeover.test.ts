import process from 'node:process';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {engineOutcome, Fleet} from '../../dispatch/index.js';
import {BrokenAnswerError, NotRunError, refusalReason} from '../../errors/index.js';
import {
	PermitProvider, Reservation, ReservationProvider,
} from '../../places/index.js';
import type {ReservationRequest, ReservedEngines} from '../../places/index.js';
import {BlockQuarantine} from '../../quarantine/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {WindowRetryBudget} from '../../retries/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	answerFraming, CallerAnswer, EngineLink, EngineReply, Gateway, RequestReporter, ServiceTimes,
} from '../index.js';
import type {EngineCall, HeaderList, RequestTrace} from '../index.js';
import {checkContinuation} from '../events.js';

const encoder = new TextEncoder();
const formatEvent = (id: number, engineId: string) => `id: ${id}\ndata: ${engineId}\n\n`;

/** A send whose answer a test writes. */
class ScriptedSend extends EngineReply {
	status = 200;
	readonly framing = answerFraming.chunked;
	readonly headers: HeaderList = [];
	isNotRun = false;
	isOtherEngine = false;
	isLeaving = false;
	retryAfterMs: number | undefined;
	readonly requestLimit = undefined;
	hasReceipt = true;
	readonly load = undefined;
	isEventStream = true;
	/** Whether the connection was closed before the end of the answer. */
	isClosed = false;
	hasEnded = false;
	readonly #chunks: Uint8Array[] = [];
	#error: Error | undefined;
	#wake: (() => void) | undefined;
	#open: {readonly resolve: (reply: EngineReply) => void; readonly reject: (error: unknown) => void} | undefined;

	constructor(readonly call: EngineCall) {
		super();
		call.signal.addEventListener('abort', () => {
			if (!this.hasEnded) {
				this.isClosed = true;
				this.fail(new BrokenAnswerError('request aborted'));
			}
		});
	}

	get engineId(): string {
		return this.call.target.id;
	}

	async waitHeader(): Promise<EngineReply> {
		return new Promise((resolve, reject) => {
			this.#open = {resolve, reject};
		});
	}

	/** Sends the status and header. */
	open(status = 200, isNotRun = false): this {
		this.status = status;
		this.isNotRun = isNotRun;
		this.#open?.resolve(this);
		return this;
	}

	send(id: number): this {
		this.#chunks.push(encoder.encode(formatEvent(id, this.engineId)));
		this.#wake?.();
		return this;
	}

	finish(): this {
		this.hasEnded = true;
		this.#wake?.();
		return this;
	}

	fail(error: Error): this {
		this.#error = error;
		this.#open?.reject(error);
		this.#wake?.();
		return this;
	}

	async * generateBody(): AsyncGenerator<Uint8Array, void> {
		for (;;) {
			if (this.#error) {
				throw this.#error;
			}

			const chunk = this.#chunks.shift();
			if (chunk) {
				yield chunk;
			} else if (this.hasEnded) {
				return;
			} else {
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
			}
		}
	}

	abort(): void {
		if (!this.hasEnded) {
			this.isClosed = true;
		}
	}
}

class ScriptedLink extends EngineLink {
	readonly sends: ScriptedSend[] = [];

	async send(call: EngineCall): Promise<EngineReply> {
		const send = new ScriptedSend(call);
		this.sends.push(send);
		return send.waitHeader();
	}

	releaseKvCache(): void {
		// No cache is held.
	}

	async isListening(): Promise<boolean> {
		return true;
	}

	async listHeldBlocks(): Promise<undefined> {
		return undefined;
	}

	async readHandle(): Promise<string> {
		return 'handle';
	}
}

/** Loses each request: its promise never settles, not even when the request is aborted. */
class UnsettledLink extends ScriptedLink {
	override async send(): Promise<EngineReply> {
		return new Promise(() => {
			// Nothing settles it.
		});
	}
}

class CountedReservation extends Reservation {
	isHeld = true;
	readonly engines: ReservedEngines;

	constructor(decodeEngine: string, prefillEngine: string | undefined) {
		super();
		this.engines = {
			prefillEngine, decodeEngine, prefixSource: undefined, firstTokenMs: 10,
		};
	}

	onPrefillEnd(): void {
		// Nothing is accounted for.
	}

	onPace(): void {
		// Nothing is accounted for.
	}

	onSilence(): void {
		// Nothing is accounted for.
	}

	release(): void {
		this.isHeld = false;
	}
}

/** Grants the first engine that is not excluded. */
class ScriptedReservations extends ReservationProvider {
	readonly granted: CountedReservation[] = [];
	error: Error | undefined;
	/** Engine that prefills for the reservations granted from now on. */
	prefillEngine: string | undefined;

	constructor(readonly engineIds: readonly string[]) {
		super();
	}

	async acquire({excludedEngines}: ReservationRequest): Promise<Reservation> {
		if (this.error) {
			throw this.error;
		}

		const id = this.engineIds.find(engineId => !excludedEngines.includes(engineId));
		if (id === undefined) {
			throw new NotRunError('No engine.', {props: {reason: refusalReason.unavailable}});
		}

		const reservation = new CountedReservation(id, this.prefillEngine);
		this.granted.push(reservation);
		return reservation;
	}

	connect(): void {
		// There is one process.
	}
}

class FreePermits extends PermitProvider {
	isLimited(): boolean {
		return false;
	}

	computeWaitMs(): number {
		return 0;
	}

	async takePermit(): Promise<boolean> {
		return true;
	}

	scheduleReturnMs(): number {
		return 0;
	}

	onSend(): void {
		// Nothing is limited.
	}
}

class QuietReporter extends RequestReporter {
	readonly failedTasks: string[] = [];
	readonly outcomes: Array<string | undefined> = [];

	onAccessRefused(): void {
		// Nothing to report.
	}

	onEnd({outcome}: RequestTrace): void {
		this.outcomes.push(outcome);
	}

	onRetry(): void {
		// Tests look at the sends.
	}

	onLeaving(): void {
		// No engine leaves.
	}

	onSilence(): void {
		// Tests look at the sends.
	}

	onResume(): void {
		// Tests look at the sends.
	}

	onTakeover(): void {
		// Tests look at the sends.
	}

	onExtraSend(): void {
		// Streams have none.
	}

	onExtraSendEnd(): void {
		// Streams have none.
	}

	onTakeoverEnd(): void {
		// Tests look at the sends.
	}

	onUnprovenRefusal(): void {
		// Tests look at the answer.
	}

	onSearchFailed(): void {
		// Tests look at the answer.
	}

	onTaskFailed(task: string): void {
		this.failedTasks.push(task);
	}

	onPause(): void {
		// No engine asks for a pause.
	}
}

class RecordedAnswer extends CallerAnswer {
	readonly controller = new AbortController();
	readonly signal = this.controller.signal;
	isStarted = false;
	text = '';
	/** How the answer ended. */
	end: string | undefined;

	start(status: number): void {
		this.isStarted = true;
		this.text += `${status} `;
	}

	async write(bytes: Uint8Array): Promise<void> {
		this.text += new TextDecoder().decode(bytes);
	}

	finish(): void {
		this.end = 'complete';
	}

	abort(): void {
		this.end = 'cut';
	}

	refuse(status: number): void {
		this.end = `refused ${status}`;
	}
}

type WorldOptions = {
	readonly engineIds?: readonly string[];
	readonly maxRuns?: number;
	readonly link?: ScriptedLink;
	readonly retrySlack?: number;
	/** Whether the request is a stream that may be resumed; otherwise it is a call that may be repeated. */
	readonly isGeneration?: boolean;
};

/** One caller of a stream that may be resumed, or of a call that may be repeated, on engines whose answers the test writes. */
class TakeoverWorld {
	readonly timers = new ManualTimers();
	readonly reporter = new QuietReporter();
	readonly answer = new RecordedAnswer();
	readonly fleet = new Fleet();
	readonly reservations: ScriptedReservations;
	readonly served: Promise<void>;

	readonly link: ScriptedLink;

	constructor({engineIds = ['a', 'b', 'c'], maxRuns = 2, link = new ScriptedLink(), retrySlack = 50, isGeneration = true}: WorldOptions = {}) {
		this.link = link;
		const {timers, fleet} = this;
		for (const id of engineIds) {
			fleet.onRegistration({
				id, address: `10.0.0.${id.codePointAt(0)}:80`, service: 'llm', stage: isGeneration ? 'decode' : 'any', slots: 6, isLeaving: false, startedAt: 1,
			});
		}

		this.reservations = new ScriptedReservations(engineIds);
		const gateway = new Gateway(fleet, {
			timers, link: this.link, reservations: this.reservations, permits: new FreePermits(), limits: new RequestLimits(), quarantine: new BlockQuarantine(),
			serviceTimes: new ServiceTimes(timers), retryBudget: new WindowRetryBudget(timers, {ratio: 0.2, windowMs: 10_000, slack: retrySlack}), reporter: this.reporter, getRandom: () => 0.5,
		});
		gateway.apply({
			version: 1,
			routes: [{
				name: 'check', host: 'h', pathPrefix: '/', kind: isGeneration ? 'stream' : 'idempotent', shares: [{service: 'llm', weight: 1}],
				timeoutMs: 6000, targetMs: 100, firstByteTimeoutMs: 2000, maxRuns, priority: 1, isResumable: true,
			}],
			services: new Map([['llm', {name: 'llm', maxConnections: 96, model: isGeneration ? {slots: 6, kvCapacityTokens: 100_000, kvTransferMsPerToken: 0} : undefined}]]),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
		});
		this.served = gateway.serve({
			id: 'r', method: 'POST', host: 'h', path: '/', headers: [], body: new Uint8Array(), arrivedAt: timers.getNow(), callerDeadlineMs: 6000, resumeAfter: undefined,
			prompt: {
				model: 'm', promptTokens: 10, outputTokens: 10, prefixBlocks: [],
			},
		}, this.answer);
	}

	/** Has an engine count as suspect, as after silences of other requests there. */
	markSuspect(engineId: string): void {
		const {health} = this.fleet.findServing(engineId)!;
		while (!health.isSuspect) {
			health.onOutcome(engineOutcome.silent, this.timers.getNow());
		}
	}

	/** Checks that nothing is left of the request once its answer has ended. */
	async checkEnded(end: string): Promise<void> {
		await this.timers.advance(1000);
		expect(this.answer.end).to.equal(end);
		expect(this.reservations.granted.filter(({isHeld}) => isHeld).map(({engines}) => engines.decodeEngine), 'held reservations').to.deep.equal([]);
		expect(this.link.sends.filter(({isClosed, hasEnded}) => !isClosed && !hasEnded).map(({engineId}) => engineId), 'open sends').to.deep.equal([]);
		expect(this.timers.countPending(), 'timers').to.equal(0);
	}
}

describe('the rest of a stream', () => {
	const check = (text: string, lastId = '2') => () => {
		checkContinuation(encoder.encode(text), lastId);
	};

	it('may have comments and events whose ids rise', () => {
		expect(check('id: 3\ndata: a\n\n: still here\n\nid: 5\r\ndata: b\r\n\r\n')).not.to.throw();
		expect(check('id: b\ndata: a\n\n', 'a')).not.to.throw();
	});

	it('has no events without ids, with earlier ids or with the same one, and no other text', () => {
		for (const text of ['data: a\n\n', 'id: 2\ndata: a\n\n', 'id: 1\n\n', 'id:\n\n', 'id: 3\n\n<html>\n\n', 'id: 4\n\nid: 3\n\n']) {
			expect(check(text), text).to.throw('can\'t go on');
		}
	});
});

describe('a stream whose engine is silent', () => {
	it('goes on at the further engine that sends the next event', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(450);
		world.link.sends[1]!.open().send(2);
		await world.timers.advance(1);
		expect([world.link.sends[0]!.isClosed, world.link.sends[1]!.call.resumeAfter]).to.deep.equal([true, '1']);
		world.link.sends[1]!.send(3).finish();
		await world.checkEnded('complete');
		expect(world.answer.text).to.equal(`200 ${formatEvent(1, 'a')}${formatEvent(2, 'b')}${formatEvent(3, 'b')}`);
	});

	it('goes on at the silent engine when that sends first, and leaves nothing at the further one', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(450);
		world.link.sends[1]!.open();
		await world.timers.advance(50);
		world.link.sends[0]!.send(2);
		await world.timers.advance(1);
		expect(world.link.sends[1]!.isClosed).to.equal(true);
		world.link.sends[0]!.finish();
		await world.checkEnded('complete');
	});

	for (const isEndFirst of [true, false]) {
		it(`leaves nothing at the further engine when the silent one ends just ${isEndFirst ? 'before' : 'after'} the further one's event`, async () => {
			// The two are as many steps of promises apart.
			for (let steps = 0; steps < 20; steps++) {
				const world = new TakeoverWorld();
				await world.timers.advance(10);
				world.link.sends[0]!.open().send(1).send(2);
				await world.timers.advance(450);
				world.link.sends[1]!.open();
				await world.timers.advance(10);
				const actions = [() => world.link.sends[0]!.finish(), () => world.link.sends[1]!.send(3).finish()];
				const [first, second] = isEndFirst ? actions : actions.toReversed();
				first!();
				for (let step = 0; step < steps; step++) {
					await Promise.resolve();
				}

				second!();
				await world.checkEnded('complete');
			}
		});
	}

	it('is awaited when the search for a further engine fails', async () => {
		const failures: unknown[] = [];
		const listeners = process.listeners('unhandledRejection');
		process.removeAllListeners('unhandledRejection');
		const onFailure = (error: unknown) => failures.push(error);
		process.on('unhandledRejection', onFailure);
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		world.reservations.error = new TypeError('a fault of the search');
		await world.timers.advance(450);
		await waitTurn();
		world.link.sends[0]!.send(2).finish();
		await world.checkEnded('complete');
		process.off('unhandledRejection', onFailure);
		for (const listener of listeners) {
			process.on('unhandledRejection', listener);
		}

		expect(failures).to.deep.equal([]);
	});

	it('is served by the further engine alone when neither has sent an event while both worked on it', async () => {
		for (const isHeadSent of [true, false]) {
			const world = new TakeoverWorld();
			await world.timers.advance(10);
			world.link.sends[0]!.open().send(1);
			await world.timers.advance(450);
			if (isHeadSent) {
				world.link.sends[1]!.open();
			}

			await world.timers.advance(380);
			expect(world.link.sends.map(({isClosed}) => isClosed)).to.deep.equal([true, false]);
			await world.timers.advance(900);
			world.link.sends[1]!.open().send(2).finish();
			await world.checkEnded('complete');
			expect(world.answer.text).to.equal(`200 ${formatEvent(1, 'a')}${formatEvent(2, 'b')}`);
		}
	});

	it('goes on at a third engine when the one that serves it alone refuses it', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(800);
		world.link.sends[1]!.open(503, true).finish();
		await world.timers.advance(100);
		expect(world.link.sends.map(({engineId, call}) => [engineId, call.resumeAfter])).to.deep.equal([['a', undefined], ['b', '1'], ['c', '1']]);
		world.link.sends[2]!.open().send(2).finish();
		await world.checkEnded('complete');
	});

	it('stays at the silent engine when the further one has become suspect itself', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(450);
		world.markSuspect('b');
		await world.timers.advance(380);
		expect(world.link.sends.map(({isClosed}) => isClosed)).to.deep.equal([false, true]);
		world.link.sends[0]!.send(2).finish();
		await world.checkEnded('complete');
	});

	it('goes on at the further engine, also a suspect one, when the silent one has broken off', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(450);
		world.markSuspect('b');
		world.link.sends[0]!.fail(new BrokenAnswerError('reset'));
		await world.timers.advance(900);
		expect(world.link.sends[1]!.isClosed).to.equal(false);
		world.link.sends[1]!.open().send(2).finish();
		await world.checkEnded('complete');
	});

	it('ends with the caller, also during a search', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		world.link.sends[0]!.open().send(1);
		await world.timers.advance(450);
		world.link.sends[1]!.open();
		await world.timers.advance(10);
		world.answer.controller.abort();
		await world.timers.advance(1);
		expect(world.link.sends.map(({isClosed}) => isClosed)).to.deep.equal([true, true]);
	});

	it('passes the failure of the silent engine on when no further run is allowed', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(450);
		world.link.sends[1]!.fail(new BrokenAnswerError('reset'));
		await world.timers.advance(10);
		world.link.sends[0]!.open(500).finish();
		await world.timers.advance(500);
		expect([world.answer.text, world.answer.end]).to.deep.equal(['500 ', 'complete']);
	});
});

// Guards against ending a call for an answer that its caller can't get, while another engine can still give one.
describe('a call that may be repeated and gets a success without a receipt', () => {
	it('is answered by the other engine that has it', async () => {
		const world = new TakeoverWorld({isGeneration: false});
		await world.timers.advance(70);
		const [first, second] = world.link.sends;
		first!.hasReceipt = false;
		first!.open().finish();
		await world.timers.advance(10);
		second!.open().finish();
		await world.checkEnded('complete');
		expect(world.answer.text).to.equal('200 ');
	});

	it('is sent to another engine', async () => {
		const world = new TakeoverWorld({isGeneration: false});
		await world.timers.advance(10);
		world.link.sends[0]!.hasReceipt = false;
		world.link.sends[0]!.open().finish();
		await world.timers.advance(10);
		world.link.sends[1]!.open().finish();
		await world.checkEnded('complete');
	});

	it('is answered with 502 after the last engine', async () => {
		const world = new TakeoverWorld({isGeneration: false, maxRuns: 1});
		await world.timers.advance(10);
		world.link.sends[0]!.hasReceipt = false;
		world.link.sends[0]!.open().finish();
		await world.checkEnded('refused 502');
	});
});

// Guards against a pause that an engine asks for, and that is lost as its connection is closed while the answer arrives.
describe('an engine that is no longer needed and refuses with a pause', () => {
	const refuseWithPause = (send: ScriptedSend) => {
		send.retryAfterMs = 1500;
		send.open(503, true).finish();
	};

	it('gets no requests until then, when the other engine of a call has just answered', async () => {
		const world = new TakeoverWorld({isGeneration: false});
		await world.timers.advance(70);
		const [first, second] = world.link.sends;
		first!.open().finish();
		await world.timers.advance(10);
		refuseWithPause(second!);
		await world.checkEnded('complete');
		expect(world.fleet.findServing(second!.engineId)!.computePauseMs(world.timers.getNow())).to.be.above(0);
	});

	it('gets no requests until then, when the silent engine of a stream has just gone on', async () => {
		const world = new TakeoverWorld();
		await world.timers.advance(10);
		const [first] = world.link.sends;
		first!.open().send(1);
		await world.timers.advance(450);
		const further = world.link.sends[1]!;
		first!.send(2);
		await world.timers.advance(10);
		refuseWithPause(further);
		first!.finish();
		await world.checkEnded('complete');
		expect(world.fleet.findServing(further.engineId)!.computePauseMs(world.timers.getNow())).to.be.above(0);
	});

	it('has its connection closed within 100 ms when it does not answer', async () => {
		const world = new TakeoverWorld({isGeneration: false});
		await world.timers.advance(70);
		world.link.sends[0]!.open().finish();
		await world.timers.advance(100);
		expect(world.link.sends[1]!.isClosed).to.equal(true);
	});
});

// Guards against telling the caller of a request that may have run that it has not, and against an answer that nothing ends.
describe('a stream that is resumed, whose prefill is refused while the retry budget is spent', () => {
	/** Has the first engine break off, after the first event or before it, and a prefill engine refuse the request of the next one. */
	const startResumption = async (hasEvent: boolean) => {
		const world = new TakeoverWorld({maxRuns: 3, retrySlack: 1.5});
		world.fleet.onRegistration({
			id: 'p', address: '10.0.0.9:80', service: 'llm', stage: 'prefill', slots: 6, isLeaving: false, startedAt: 1,
		});
		await world.timers.advance(10);
		world.reservations.prefillEngine = 'p';
		const [first] = world.link.sends;
		first!.open();
		if (hasEvent) {
			first!.send(1);
		}

		await world.timers.advance(1);
		first!.fail(new BrokenAnswerError('reset'));
		await world.timers.advance(10);
		expect(world.link.sends.map(({engineId}) => engineId)).to.deep.equal(['a', 'p']);
		world.link.sends[1]!.open(503, true).finish();
		await world.timers.advance(10);
		return world;
	};

	it('is answered with 502 when its answer has not begun', async () => {
		const world = await startResumption(false);
		await world.checkEnded('refused 502');
	});

	it('waits for a permit, and its answer is cut when none is to be had by the time that its caller leaves', async () => {
		const world = await startResumption(true);
		expect(world.answer.end).to.equal(undefined);
		await world.timers.advance(6000);
		await world.checkEnded('cut');
	});
});

// Guards against a wait that nothing ends: its caller would get no answer, and the process would wait for it until the end of a stop.
describe('a request whose engine link never settles', () => {
	it('is answered with 504 shortly after its deadline, and reported', async () => {
		const world = new TakeoverWorld({engineIds: ['a'], maxRuns: 1, link: new UnsettledLink()});
		await world.timers.advance(6000);
		expect(world.answer.end).to.equal(undefined);
		await world.timers.advance(499);
		expect(world.answer.end).to.equal('refused 504');
		expect(world.reporter.failedTasks).to.deep.equal(['end a request in time']);
		await world.served;
	});

	it('ends when its caller has left', async () => {
		const world = new TakeoverWorld({engineIds: ['a'], maxRuns: 1, link: new UnsettledLink()});
		await world.timers.advance(100);
		world.answer.controller.abort();
		await world.timers.advance(499);
		await world.served;
		expect(world.reporter.outcomes).to.deep.equal(['caller_gone']);
	});
});
