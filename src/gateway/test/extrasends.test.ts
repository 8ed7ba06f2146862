import {expect} from 'chai';
import {Fleet} from '../../dispatch/index.js';
import {BrokenAnswerError} from '../../errors/index.js';
import {ExtraSends} from '../../hedging/index.js';
import {StructuredLogs} from '../../logs/index.js';
import {Metrics} from '../../metrics/index.js';
import {PermitProvider, ReservationProvider} from '../../places/index.js';
import type {Reservation} from '../../places/index.js';
import {BlockQuarantine} from '../../quarantine/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {WindowRetryBudget} from '../../retries/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	answerFraming, CallerAnswer, EngineLink, EngineReply, Gateway, LogReporter, ServiceTimes,
} from '../index.js';
import type {EngineCall, RequestKind} from '../index.js';

/** Time after which the tests look at a slow request, in milliseconds: others take 20. */
const slowMs = 45;

/** A whole, successful answer. */
class TestReply extends EngineReply {
	status = 200;
	readonly framing = answerFraming.length;
	readonly headers = [];
	isNotRun = false;
	isOtherEngine = false;
	isLeaving = false;
	readonly retryAfterMs = undefined;
	readonly requestLimit = undefined;
	hasReceipt = true;
	readonly load = {running: 1, waiting: 0};
	isEventStream = false;

	async * generateBody(): AsyncGenerator<Uint8Array, void> {
		yield new Uint8Array([1]);
	}

	abort(): void {
		// Nothing is open.
	}
}

type TestSend = {readonly engine: string; readonly sentAt: number; readonly finish: () => void; closedAt: number | undefined};

/** Engines that answer when a test says so, or after 20 ms while `isAnswering`. */
class TestLink extends EngineLink {
	readonly sends: TestSend[] = [];
	isAnswering = true;

	constructor(readonly timers: ManualTimers) {
		super();
	}

	async send(call: EngineCall): Promise<EngineReply> {
		return new Promise((resolve, reject) => {
			const send: TestSend = {
				engine: call.target.id, sentAt: this.timers.getNow(), closedAt: undefined, finish() {
					resolve(new TestReply());
				},
			};
			this.sends.push(send);
			call.signal.addEventListener('abort', () => {
				send.closedAt ??= this.timers.getNow();
				reject(new BrokenAnswerError('aborted'));
			});
			if (this.isAnswering) {
				this.timers.startTimer(20, send.finish);
			}
		});
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

class NoReservations extends ReservationProvider {
	async acquire(): Promise<Reservation> {
		throw new TypeError('not a model service');
	}

	connect(): void {
		// There is one process.
	}
}

class TestPermits extends PermitProvider {
	areLimited = false;

	isLimited(): boolean {
		return this.areLimited;
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
		// Nothing is counted.
	}
}

class TestAnswer extends CallerAnswer {
	readonly signal = new AbortController().signal;
	isStarted = false;
	isComplete = false;

	start(): void {
		this.isStarted = true;
	}

	async write(): Promise<void> {
		// The tests look at the sends.
	}

	finish(): void {
		this.isComplete = true;
	}

	abort(): void {
		// The tests look at the sends.
	}

	refuse(): void {
		// The tests look at the sends.
	}
}

/** An entry with three engines, whose requests took 20 ms each so far. */
class World {
	readonly timers = new ManualTimers();
	readonly link = new TestLink(this.timers);
	readonly permits = new TestPermits();
	readonly fleet = new Fleet();
	readonly lines: string[] = [];
	readonly gateway: Gateway;
	requestCount = 0;

	constructor(readonly extraSends: ExtraSends | undefined, {kind = 'idempotent', maxRuns = 2, ratio = 0.2}: {readonly kind?: RequestKind; readonly maxRuns?: number; readonly ratio?: number} = {}) {
		const {timers} = this;
		for (const id of ['a', 'b', 'c']) {
			this.fleet.onRegistration({
				id, address: `${id}:80`, service: 'app', stage: 'any', slots: 6, isLeaving: false, startedAt: 1,
			});
		}

		const logs = new StructuredLogs(timers, {
			write: (line: string) => {
				this.lines.push(line);
			},
		} as unknown as ConstructorParameters<typeof StructuredLogs>[1], {});
		this.gateway = new Gateway(this.fleet, {
			timers, link: this.link, reservations: new NoReservations(), permits: this.permits, limits: new RequestLimits(), quarantine: new BlockQuarantine(),
			serviceTimes: new ServiceTimes(timers), retryBudget: new WindowRetryBudget(timers, {ratio, windowMs: 10_000, slack: 0}),
			reporter: new LogReporter(logs, new Metrics()), getRandom: () => 0.5, ...(this.extraSends ? {extraSends: this.extraSends} : {}),
		});
		this.gateway.apply({
			version: 1,
			routes: [{
				name: 'app', host: 'h', pathPrefix: '/', kind, shares: [{service: 'app', weight: 1}],
				timeoutMs: 6000, targetMs: 1000, firstByteTimeoutMs: 6000, maxRuns, priority: 1, isResumable: false,
			}],
			services: new Map([['app', {name: 'app', maxConnections: 96, model: undefined}]]),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
		});
	}

	/** Serves requests that are answered in time, and then one that the test answers; returns its sends. */
	async startSlow(): Promise<{readonly sends: TestSend[]; readonly answer: TestAnswer}> {
		for (let index = 0; index < 60; index++) {
			void this.serve();
			await this.timers.advance(100);
			// Some requests take twice and five times as long, so that there is a tail; what is earned afterwards covers an extra send.
			if (index % 10 === 9 && index < 20) {
				this.link.isAnswering = false;
				void this.serve();
				await this.timers.advance(index % 20 === 19 ? 100 : 40);
				this.link.isAnswering = true;
				this.link.sends.at(-1)!.finish();
				await this.timers.advance(100);
			}
		}

		this.link.isAnswering = false;
		const before = this.link.sends.length;
		const answer = this.serve();
		await this.timers.advance(slowMs);
		return {sends: this.link.sends.slice(before), answer};
	}

	serve(): TestAnswer {
		const answer = new TestAnswer();
		void this.gateway.serve({
			id: `r${this.requestCount++}`, method: 'GET', host: 'h', path: '/', headers: [], body: new Uint8Array(), arrivedAt: this.timers.getNow(), callerDeadlineMs: 6000, resumeAfter: undefined, prompt: undefined,
		}, answer);
		return answer;
	}
}

describe('a plain request that is slow without being silent', () => {
	it('is also sent to a further engine within the share, the loser is ended at once and charged', async () => {
		const world = new World(new ExtraSends(0.1));
		const sentBefore = world.extraSends!.counts.sent;
		const {sends, answer} = await world.startSlow();
		expect(sends.length).to.equal(2);
		expect(sends[1]!.engine).not.to.equal(sends[0]!.engine);
		const {extraMs} = world.extraSends!.counts;
		const answeredAt = world.timers.getNow();
		sends[1]!.finish();
		await world.timers.advance(0);
		expect(answer.isComplete).to.equal(true);
		expect(sends[0]!.closedAt).to.equal(answeredAt);
		expect(world.extraSends!.counts.won).to.equal(1);
		expect(world.extraSends!.counts.sent).to.be.above(sentBefore);
		expect(world.extraSends!.counts.extraMs - extraMs).to.equal(slowMs);
		await world.timers.advance(1000);
		expect(world.fleet.listServing('app').map(({localRequests}) => localRequests)).to.deep.equal([0, 0, 0]);
		expect(world.timers.countPending()).to.equal(0);
	});

	it('is served by the first engine when that answers first, and the extra send is charged', async () => {
		const world = new World(new ExtraSends(0.1));
		const {sends, answer} = await world.startSlow();
		const {extraMs, won} = world.extraSends!.counts;
		sends[0]!.finish();
		await world.timers.advance(0);
		expect(answer.isComplete).to.equal(true);
		expect(sends[1]!.closedAt).to.equal(world.timers.getNow());
		expect(world.extraSends!.counts.won).to.equal(won);
		expect(world.extraSends!.counts.extraMs - extraMs).to.equal(world.timers.getNow() - sends[1]!.sentAt);
	});

	it('goes on without the extra send when that works for longer than the account covers', async () => {
		const world = new World(new ExtraSends(0.1));
		const {sends, answer} = await world.startSlow();
		await world.timers.advance(400);
		expect([sends[0]!.closedAt, sends[1]!.closedAt === undefined]).to.deep.equal([undefined, false]);
		sends[0]!.finish();
		await world.timers.advance(0);
		expect(answer.isComplete).to.equal(true);
		expect(world.extraSends!.computeSpentShare()).to.be.at.most(0.1);
	});

	it('is not sent twice to engines whose slots are all in use', async () => {
		const world = new World(new ExtraSends(0.1));
		const [first, ...others] = world.fleet.listServing('app');
		for (const view of others) {
			view.onLoad({running: 6, waiting: 6}, 0);
			view.localRequests = 6;
		}

		first!.localRequests = 0;
		await expectNoExtra(world);
	});

	const expectNoExtra = async (world: World) => {
		const {sends} = await world.startSlow();
		expect(sends.length).to.equal(1);
		expect(world.extraSends?.counts.sent ?? 0).to.equal(0);
	};

	it('is not sent twice without a share', async () => {
		await expectNoExtra(new World(undefined));
	});

	it('is not sent twice if it may run only once', async () => {
		await expectNoExtra(new World(new ExtraSends(0.1), {kind: 'unrepeatable'}));
	});

	it('is not sent twice if the route allows one run', async () => {
		await expectNoExtra(new World(new ExtraSends(0.1), {maxRuns: 1}));
	});

	it('is not sent twice if the retry budget is spent', async () => {
		await expectNoExtra(new World(new ExtraSends(0.1), {ratio: 0}));
	});

	it('is not sent twice to engines that name a limit', async () => {
		const world = new World(new ExtraSends(0.1));
		world.permits.areLimited = true;
		await expectNoExtra(world);
	});

	it('is not sent twice while all other engines ask for a pause', async () => {
		const world = new World(new ExtraSends(0.1));
		for (const view of world.fleet.listServing('app').slice(1)) {
			view.onRetryAfter(60_000, 0);
		}

		await expectNoExtra(world);
	});
});
