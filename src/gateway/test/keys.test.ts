import {expect} from 'chai';
import {
	Credential, CustomerAccess, CustomerTable, KnowledgeAge,
} from '../../customers/index.js';
import {Fleet} from '../../dispatch/index.js';
import {BrokenAnswerError, NotSentError} from '../../errors/index.js';
import {SlotAllocator, PermitProvider, ReservationProvider} from '../../places/index.js';
import type {Reservation, ReservationRequest} from '../../places/index.js';
import {BlockQuarantine} from '../../quarantine/index.js';
import type {StructuredLogs} from '../../logs/index.js';
import {Metrics} from '../../metrics/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {WindowRetryBudget} from '../../retries/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	answerFraming, CallerAnswer, EngineLink, EngineReply, Gateway, LogReporter, ServiceTimes,
} from '../index.js';
import type {EngineCall, GatewayConfiguration, HeaderList} from '../index.js';

/** What an engine does with a send: `refuse` states that the request has not run, `event` sends one event and then nothing, `break` breaks off after one. */
type Behaviour = 'answer' | 'refuse' | 'silent' | 'event' | 'break' | 'unreachable';

class ScriptedReply extends EngineReply {
	readonly framing = answerFraming.chunked;
	readonly headers: HeaderList = [];
	isOtherEngine = false;
	isLeaving = false;
	readonly retryAfterMs = undefined;
	readonly requestLimit = undefined;
	hasReceipt = true;
	readonly load = undefined;
	isEventStream = true;
	readonly status: number;
	readonly isNotRun: boolean;

	constructor(readonly behaviour: Behaviour, readonly call: EngineCall) {
		super();
		this.isNotRun = behaviour === 'refuse';
		this.status = this.isNotRun ? 503 : 200;
	}

	async * generateBody(): AsyncGenerator<Uint8Array, void> {
		yield new TextEncoder().encode('id: 1\ndata: a\n\n');
		if (this.behaviour === 'break') {
			throw new BrokenAnswerError('connection closed');
		}

		if (this.behaviour === 'event') {
			await waitForAbort(this.call.signal);
			throw new BrokenAnswerError('request aborted');
		}
	}

	abort(): void {
		// Nothing is open.
	}
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}

class ScriptedLink extends EngineLink {
	readonly calls: EngineCall[] = [];
	/** What the engines do with the next sends. */
	behaviours: Behaviour[] = [];
	/** Called with each send before it is answered. */
	onSend: (call: EngineCall) => void = () => undefined;

	async send(call: EngineCall): Promise<EngineReply> {
		this.calls.push(call);
		const behaviour = this.behaviours.shift() ?? 'answer';
		this.onSend(call);
		if (behaviour === 'unreachable') {
			throw new NotSentError('connection refused');
		}

		if (behaviour === 'silent') {
			await waitForAbort(call.signal);
			throw new BrokenAnswerError('request aborted');
		}

		return new ScriptedReply(behaviour, call);
	}

	async readHandle(): Promise<string> {
		return 'handle';
	}

	releaseKvCache(): void {
		// Nothing is held.
	}

	async isListening(): Promise<boolean> {
		return true;
	}

	async listHeldBlocks(): Promise<undefined> {
		return undefined;
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

class LocalReservations extends ReservationProvider {
	constructor(readonly allocator: SlotAllocator) {
		super();
	}

	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<Reservation> {
		return this.allocator.acquire(request, signal);
	}

	connect(): void {
		// There is one process.
	}
}

class RecordedAnswer extends CallerAnswer {
	readonly signal = new AbortController().signal;
	isStarted = false;
	/** How the answer ended. */
	end: string | undefined;

	start(): void {
		this.isStarted = true;
	}

	async write(): Promise<void> {
		// Tests look at the sends.
	}

	finish(): void {
		this.end ??= 'complete';
	}

	abort(): void {
		this.end ??= 'cut';
	}

	refuse(status: number, _reason: string, retryAfterMs: number | undefined): void {
		this.end ??= `${status}${retryAfterMs === undefined ? '' : ' retry'}`;
	}
}

const key = 'key-of-north';
const createTable = (...keys: string[]) => new CustomerTable([{name: 'north', priority: undefined, keys}]);

/** A process whose requests carry an API key, with engines that do what the test says. */
class KeyWorld {
	readonly timers = new ManualTimers();
	readonly link = new ScriptedLink();
	readonly fleet = new Fleet();
	readonly lines: string[] = [];
	readonly access = new CustomerAccess(new KnowledgeAge(this.timers), () => ({maxAgeMs: 4900, maxNewKeyAgeMs: 3000}));
	readonly allocator = new SlotAllocator({
		timers: this.timers, fleet: this.fleet, getRandom: () => 0.5, getSlotShare: () => 1,
	});

	readonly gateway: Gateway;
	readonly #configuration: GatewayConfiguration;

	constructor(kind: 'idempotent' | 'stream', isPublic = false) {
		const {timers, fleet} = this;
		const {lines} = this;
		const logs = {
			write(...line: readonly unknown[]) {
				lines.push(JSON.stringify(line));
			},
		} as unknown as StructuredLogs;
		this.gateway = new Gateway(fleet, {
			timers, link: this.link, reservations: new LocalReservations(this.allocator), permits: new FreePermits(), limits: new RequestLimits(), quarantine: new BlockQuarantine(),
			serviceTimes: new ServiceTimes(timers), access: this.access, retryBudget: new WindowRetryBudget(timers, {ratio: 0.2, windowMs: 10_000, slack: 50}),
			reporter: new LogReporter(logs, new Metrics()), getRandom: () => 0.5,
		});
		this.#configuration = {
			version: 1,
			routes: [{
				name: 'check', host: 'h', pathPrefix: '/', kind, shares: [{service: 's', weight: 1}], timeoutMs: 20_000, targetMs: 1000, firstByteTimeoutMs: 20_000,
				maxRuns: 3, priority: 1, isResumable: kind === 'stream', isPublic,
			}],
			services: new Map([['s', {name: 's', maxConnections: 96, model: kind === 'stream' ? {slots: 6, kvCapacityTokens: 100_000, kvTransferMsPerToken: 0} : undefined}]]),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
			customers: createTable(key),
		};
		this.gateway.apply(this.#configuration);
		this.access.age.onKnown(0);
	}

	addEngine(id: string, stage: 'any' | 'prefill' | 'decode' = 'any'): void {
		this.fleet.onRegistration({
			id, address: `10.0.0.${id.codePointAt(0)}:80`, service: 's', stage, slots: 6, isLeaving: false, startedAt: 1,
		});
		this.gateway.serveQueues();
		this.allocator.serveWaiting();
	}

	/** Puts a configuration without the key into force. */
	removeKey(): void {
		this.gateway.apply({...this.#configuration, version: 2, customers: createTable('another-key')});
		this.access.age.onKnown(0);
	}

	/** Lets the knowledge of the configuration become too old, as a suspension of the VM does. */
	shiftClock(): void {
		this.timers.shiftWallTime(4900);
	}

	serve(): RecordedAnswer {
		const answer = new RecordedAnswer();
		const credential = this.gateway.decideAccess({host: 'h', path: '/', key});
		void this.gateway.serve({
			id: 'r', method: 'POST', host: 'h', path: '/', headers: [], body: new Uint8Array(), arrivedAt: this.timers.getNow(), callerDeadlineMs: 20_000, resumeAfter: undefined,
			prompt: {
				model: 'm', promptTokens: 9000, outputTokens: 10, prefixBlocks: [{id: 'shared', tokens: 8000}, {id: 'own', tokens: 1000}],
			}, credential: credential instanceof Credential ? credential : undefined,
		}, answer);
		return answer;
	}

	/** Runs until the request has ended, checks how, and how many sends there were, and that the key is in no log line. */
	async checkEnded(answer: RecordedAnswer, end: string, sends: number): Promise<void> {
		await this.timers.advance(19_000);
		expect([answer.end, this.link.calls.length]).to.deep.equal([end, sends]);
		expect(this.lines.join('\n')).to.not.include(key);
		expect(this.lines).to.not.deep.equal([]);
	}
}

// Each guards against a request that runs at an engine although its key was revoked, or may have been.
describe('a request whose key is revoked or may be revoked', () => {
	for (const [change, end] of [['removeKey', '401'], ['shiftClock', '503 retry']] as const) {
		describe(change, () => {
			it('is sent to no engine after it waited for one', async () => {
				const world = new KeyWorld('idempotent');
				const answer = world.serve();
				await world.timers.advance(100);
				world[change]();
				world.addEngine('a');
				await world.checkEnded(answer, end, 0);
			});

			it('is sent to no engine after it waited for a reservation', async () => {
				const world = new KeyWorld('stream');
				const answer = world.serve();
				await world.timers.advance(100);
				world[change]();
				world.addEngine('a', 'decode');
				await world.checkEnded(answer, end, 0);
			});

			for (const behaviour of ['refuse', 'unreachable'] as const) {
				it(`is not handed to another engine after one that did not run it (${behaviour})`, async () => {
					for (const kind of ['idempotent', 'stream'] as const) {
						const world = new KeyWorld(kind);
						world.addEngine('a');
						world.addEngine('b');
						world.link.behaviours = [behaviour];
						world.link.onSend = () => {
							world[change]();
						};

						await world.checkEnded(world.serve(), end, 1);
					}
				});
			}

			it('is not decoded after its prefill', async () => {
				const world = new KeyWorld('stream');
				world.addEngine('d', 'decode');
				world.addEngine('p', 'prefill');
				world.link.onSend = () => {
					world[change]();
				};

				await world.checkEnded(world.serve(), end, 1);
				expect(world.link.calls[0]!.isPrefill).to.equal(true);
			});

			it('is not repeated or resumed after an answer that broke off', async () => {
				for (const [kind, brokenEnd] of [['idempotent', '502'], ['stream', 'cut']] as const) {
					const world = new KeyWorld(kind);
					world.addEngine('a');
					world.addEngine('b');
					world.link.behaviours = ['break'];
					world.link.onSend = () => {
						world[change]();
					};

					await world.checkEnded(world.serve(), brokenEnd, 1);
				}
			});

			it('is not sent to a further engine while one is silent, which goes on with it', async () => {
				for (const kind of ['idempotent', 'stream'] as const) {
					const world = new KeyWorld(kind);
					world.addEngine('a');
					world.addEngine('b');
					world.link.behaviours = [kind === 'stream' ? 'event' : 'silent'];
					const answer = world.serve();
					await world.timers.advance(50);
					world[change]();
					await world.timers.advance(8000);
					expect([answer.end, world.link.calls.length, world.link.calls[0]!.signal.aborted], kind).to.deep.equal([undefined, 1, false]);
					expect(world.lines.filter(line => line.includes('also sent') || line.includes('further')), kind).to.deep.equal([]);
				}
			});

			it('is told to the connection that opens late', async () => {
				const world = new KeyWorld('idempotent');
				world.addEngine('a');
				world.link.behaviours = ['silent'];
				world.serve();
				await world.timers.advance(10);
				expect(world.link.calls[0]!.isPermitted!()).to.equal(true);
				world[change]();
				expect(world.link.calls[0]!.isPermitted!()).to.equal(false);
			});

			it('goes on at the engine that runs it', async () => {
				const world = new KeyWorld('stream');
				world.addEngine('a');
				world.link.onSend = () => {
					world[change]();
				};

				await world.checkEnded(world.serve(), 'complete', 1);
			});

			it('is served all the same on a public route', async () => {
				const world = new KeyWorld('idempotent', true);
				const answer = world.serve();
				await world.timers.advance(100);
				world[change]();
				world.addEngine('a');
				await world.checkEnded(answer, 'complete', 1);
				expect(world.link.calls[0]!.request.credential).to.equal(undefined);
			});
		});
	}
});
