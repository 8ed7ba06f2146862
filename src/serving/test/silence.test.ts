import {expect} from 'chai';
import {createUpstream, StreamWorld} from '../../../faults/fakes/streamworld.js';
import type {CallerRecord} from '../../../faults/fakes/streamworld.js';
import {FakeRouter} from '../../../faults/fakes/streams.js';
import {
	Answer, defaultEngineOptions, EngineCore, engineEvent, LocalEngine,
} from '../../../standins/engine/index.js';
import type {EngineOptions} from '../../../standins/engine/index.js';
import {runProcedure} from '../../procedures/index.js';
import type {Placement, RoutingRequest} from '../../routing/index.js';
import type {EndEvent} from '../../upstreams/index.js';
import {serveRelayed} from '../index.js';
import type {StreamDependencies} from '../index.js';

/** The longer one lasts beyond the probe of the silent engine. */
const silences = [1100, 2500];
const prompt = 'p';
const maxTokens = 400;
const timeouts = {firstEventTimeoutMs: 500, betweenEventsTimeoutMs: 500};

class CountingRouter extends FakeRouter {
	/** Choices that a router with admission would have checked as those of a new request. */
	admitted = 0;

	override choosePlacement(request: RoutingRequest, excluded: ReadonlySet<string>, isFurtherAttempt = excluded.size > 0): Placement {
		this.admitted += isFurtherAttempt ? 0 : 1;
		return super.choosePlacement(request, excluded);
	}
}

/** Three stand-ins of engines, which can fall silent and go on. */
class SilenceWorld extends StreamWorld {
	readonly cores = new Map<string, EngineCore>();
	override readonly router = new CountingRouter(['e1', 'e2', 'e3'].map(id => createUpstream(id)));
	readonly #clients = new Map<string, LocalEngine>();
	#orders = 0;
	readonly #connections = {
		getTimeouts: () => timeouts,
		getConnection: ({upstream}: Placement) => ({client: this.getClient(upstream.id), close() {/* Has no connection. */}}),
	};

	constructor(options: Partial<EngineOptions> = {}) {
		super();
		for (const id of ['e1', 'e2', 'e3']) {
			const core = new EngineCore(this.timers, {...defaultEngineOptions, ...options});
			this.cores.set(id, core);
			this.#clients.set(id, new LocalEngine(core));
		}
	}

	/** Starts a stream of the requests' usual length. */
	startStream(id: string, deadlineMs = 30_000): CallerRecord {
		const request = {...this.createWork(id, maxTokens), deadlineAt: this.timers.getNow() + deadlineMs};
		return this.start({request, prompt, offset: 0}, {}, this.#connections);
	}

	/** Creates the dependencies of a stream whose events go to `onEvents`. */
	createDependencies(onEvents: StreamDependencies['onEvents']): StreamDependencies {
		return {
			router: this.router, timers: this.timers, metrics: this.metrics, signal: new AbortController().signal, onEvents, ...this.#connections,
		};
	}

	getClient(id: string): LocalEngine {
		return this.#clients.get(id)!;
	}

	getCore(id: string): EngineCore {
		return this.cores.get(id)!;
	}

	setReachable(isReachable: boolean): void {
		for (const client of this.#clients.values()) {
			client.isUnreachable = !isReachable;
		}
	}

	/** Has every engine refuse new work as not run, or take it again. */
	setDraining(kind: 'drain' | 'resume'): void {
		for (const core of this.cores.values()) {
			this.#orders++;
			core.applyOrder({id: `o${this.#orders}`, fence: 1, kind});
		}
	}

	startSilence(silentMs: number, ids: readonly string[]): void {
		for (const id of ids) {
			this.getCore(id).silence.start(silentMs);
		}
	}

	countEvents(event: string): number {
		return [...this.cores.values()].flatMap(core => core.journal.list()).filter(row => row.event === event).length;
	}

	/** Ends the test: nothing may be left over. */
	async checkEnd(): Promise<void> {
		expect(this.router.ends).to.have.lengthOf(this.router.sent);
		for (const id of this.cores.keys()) {
			expect(this.router.countInFlight(id)).to.equal(0);
		}
	}
}

function createExpectedText(): string {
	const answer = new Answer({
		id: '', model: 'contracts', version: '1', prompt, promptTokens: 1, maxTokens, offset: 0, priority: 0,
	});
	return Array.from({length: answer.tokenCount}, (_, offset) => {
		const event = answer.getEvent(offset);
		return event.kind === 'token' ? event.text : '';
	}).join('');
}

function checkWhole(record: CallerRecord): void {
	expect(record.error).to.equal(undefined);
	expect(record.text).to.equal(createExpectedText());
	expect(record.end).to.not.equal(undefined);
}

for (const silentMs of silences) {
	describe(`serveStream, while sound engines are silent for ${silentMs} ms and go on`, () => {
		it('keeps the answer of the silent engine when the others refuse, and cancels nothing there', async () => {
			const world = new SilenceWorld();
			const record = world.startStream('r');
			await world.timers.advance(300);
			world.getClient('e2').isUnreachable = true;
			world.getClient('e3').isUnreachable = true;
			world.startSilence(silentMs, ['e1']);
			checkWhole(await world.settle(record));
			expect(world.countEvents(engineEvent.requestStarted)).to.equal(1);
			expect(world.countEvents(engineEvent.requestCancelled)).to.equal(0);
			expect(await world.metrics.format()).to.match(/answer_silences_total\{outcome="went_on"\} 1/v);
			await world.checkEnd();
		});

		it('takes the answer from another engine where one serves it first, and only then ends the silent one', async () => {
			const world = new SilenceWorld();
			const record = world.startStream('r');
			await world.timers.advance(300);
			const {length} = record.text;
			world.getCore('e1').silence.start(60_000);
			await world.timers.advance(400);
			expect(world.router.ends).to.have.lengthOf(0);
			checkWhole(await world.settle(record));
			expect(length).to.be.greaterThan(0);
			expect(await world.metrics.format()).to.match(/answer_silences_total\{outcome="replaced"\} 1/v);
			await world.checkEnd();
		});

		it('cuts no stream when one of three engines falls silent and the others are near full', async () => {
			const world = new SilenceWorld({pieces: 12, maxWaitingRequests: 1});
			const records: CallerRecord[] = [];
			for (let index = 0; index < 45; index++) {
				records.push(world.startStream(`r${index}`));
				await world.timers.advance(10);
			}

			world.startSilence(silentMs, ['e1']);
			for (const record of records) {
				await world.settle(record);
			}

			const begun = records.filter(({text, end}) => text !== '' || end);
			expect(begun.length).to.be.greaterThan(30);
			for (const record of begun) {
				checkWhole(record);
			}

			await world.checkEnd();
		});

		it('cuts no stream when all engines fall silent at once, again and again', async () => {
			const world = new SilenceWorld();
			const records = Array.from({length: 20}, (_, index) => world.startStream(`r${index}`));
			for (let round = 0; round < 3; round++) {
				await world.timers.advance(200);
				world.startSilence(silentMs, ['e1', 'e2', 'e3']);
				await world.timers.advance(silentMs);
			}

			for (const record of records) {
				checkWhole(await world.settle(record));
			}

			await world.checkEnd();
		});

		it('cuts no stream when the retry budget is spent, before or after the first token', async () => {
			for (const beforeMs of [0, 300]) {
				const world = new SilenceWorld();
				world.router.retriesLeft = 0;
				if (beforeMs === 0) {
					world.startSilence(silentMs, ['e1', 'e2', 'e3']);
				}

				const record = world.startStream('r');
				await world.timers.advance(beforeMs);
				if (beforeMs > 0) {
					world.startSilence(silentMs, ['e1', 'e2', 'e3']);
				}

				checkWhole(await world.settle(record));
				await world.checkEnd();
			}
		});

		it('cuts no stream when the silent engine is closed for new work by a change of the deployment, and no other is open', async () => {
			const world = new SilenceWorld();
			const record = world.startStream('r');
			await world.timers.advance(300);
			world.startSilence(silentMs, ['e1']);
			for (const id of ['e1', 'e2', 'e3']) {
				world.publish(id, 'closing');
			}

			checkWhole(await world.settle(record));
			expect(world.countEvents(engineEvent.requestStarted)).to.equal(1);
			await world.checkEnd();
		});

		it('lets the entry that asked decide, where the answer is relayed to it', async () => {
			const world = new SilenceWorld();
			const request = world.createWork('r', maxTokens);
			let text = '';
			let end: EndEvent | undefined;
			const serve = async () => {
				end = await runProcedure(serveRelayed({request, prompt, offset: 0}, {upstream: createUpstream('e1')}, world.createDependencies(events => {
					text += events.map(event => event.kind === 'token' ? event.text : '').join('');
				})));
			};

			const served = serve();
			await world.timers.advance(300);
			world.startSilence(silentMs, ['e1']);
			await world.timers.advance(30_000);
			await served;
			expect(text).to.equal(createExpectedText());
			expect(end).to.not.equal(undefined);
			await world.checkEnd();
		});

		it('moves the request when the silent engine breaks it off later', async () => {
			const world = new SilenceWorld();
			const record = world.startStream('r');
			await world.timers.advance(300);
			world.getClient('e2').isUnreachable = true;
			world.getClient('e3').isUnreachable = true;
			world.startSilence(silentMs, ['e1']);
			await world.timers.advance(900);
			world.getCore('e1').reset();
			world.getClient('e2').isUnreachable = false;
			checkWhole(await world.settle(record));
			await world.checkEnd();
		});

		it('ends at the deadline when the silence lasts, and cancels at the engine', async () => {
			const world = new SilenceWorld();
			world.router.retriesLeft = 0;
			world.getCore('e1').silence.start(10_000);
			const record = world.startStream('r', 5000);
			await world.timers.advance(4999);
			expect(record.isSettled).to.equal(false);
			await world.timers.advance(1);
			expect(record.error).to.have.property('name', 'DeadlineError');
			await world.checkEnd();
		});
	});
}

describe('serveStream, while the engine of an answer is silent and the further one is slow to begin', () => {
	/** Starts a stream whose engine falls silent, and advances the time until a further engine, which is silent as well, has the request. */
	const startOverlap = async (furtherSilentMs: number) => {
		const world = new SilenceWorld();
		const record = world.startStream('r');
		await world.timers.advance(300);
		world.startSilence(10_000, ['e1']);
		world.startSilence(furtherSilentMs, ['e2', 'e3']);
		while (world.router.sent < 2) {
			await world.timers.advance(10);
		}

		return {world, record};
	};

	it('has it worked on by both for no longer than 400 ms, and passes it on whole', async () => {
		const {world, record} = await startOverlap(4000);
		expect(world.router.ends).to.deep.equal([]);
		await world.timers.advance(400);
		expect(world.router.ends.map(({upstream}) => upstream)).to.deep.equal(['e1']);
		checkWhole(await world.settle(record));
		await world.checkEnd();
	});

	it('seeks a third one when the further one refuses after that', async () => {
		const {world, record} = await startOverlap(4000);
		await world.timers.advance(400);
		world.setDraining('drain');
		world.getCore('e2').reset();
		await world.timers.advance(1000);
		expect(record.isSettled).to.equal(false);
		world.setDraining('resume');
		checkWhole(await world.settle(record));
		await world.checkEnd();
	});
});

describe('serveStream, while no engine takes an answer that has begun', () => {
	it('resumes it as soon as one does, before the deadline', async () => {
		const world = new SilenceWorld();
		const record = world.startStream('r');
		await world.timers.advance(300);
		world.setReachable(false);
		world.getCore('e1').reset();
		await world.timers.advance(10_000);
		expect(record.isSettled).to.equal(false);
		world.setReachable(true);
		checkWhole(await world.settle(record));
		await world.checkEnd();
	});

	it('resumes it where every engine refuses for a second, also with the retry budget spent', async () => {
		for (const retriesLeft of [Number.POSITIVE_INFINITY, 0]) {
			const world = new SilenceWorld();
			world.router.retriesLeft = retriesLeft;
			const record = world.startStream('r');
			await world.timers.advance(300);
			world.setDraining('drain');
			world.getCore('e1').reset();
			world.setDraining('drain');
			await world.timers.advance(1100);
			expect(record.isSettled).to.equal(false);
			world.setDraining('resume');
			checkWhole(await world.settle(record));
			await world.checkEnd();
		}
	});

	it('is not admitted anew when no engine is excluded any more', async () => {
		const world = new SilenceWorld();
		const record = world.startStream('r');
		await world.timers.advance(300);
		world.setReachable(false);
		world.getCore('e1').reset();
		await world.timers.advance(2000);
		world.setReachable(true);
		checkWhole(await world.settle(record));
		expect(world.router.admitted).to.equal(1);
	});

	it('fails at the deadline when none does, and at once when the caller leaves', async () => {
		for (const isLeaving of [false, true]) {
			const world = new SilenceWorld();
			const record = world.startStream('r', 8000);
			await world.timers.advance(300);
			world.setReachable(false);
			world.getCore('e1').reset();
			await world.timers.advance(7000);
			expect(record.isSettled).to.equal(false);
			if (isLeaving) {
				world.abortCallers();
			}

			await world.timers.advance(isLeaving ? 0 : 700);
			expect(record.error).to.have.property('name', isLeaving ? 'CallerGoneError' : 'UnknownOutcomeError');
			expect(world.timers.getNow()).to.be.at.most(8000);
			await world.checkEnd();
		}
	});
});
