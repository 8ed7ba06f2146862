import {findLimitBreach} from '../../../standins/fleet/index.js';
import type {LimitBreach, LimitChange} from '../../../standins/fleet/index.js';
import {engineOutcome, engineStage, Fleet} from '../../dispatch/index.js';
import {NotRunError} from '../../errors/index.js';
import {MessageLink, MessageNetwork} from '../../peers/index.js';
import type {MessageHandlers} from '../../peers/index.js';
import {RandomSource} from '../../rates/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	FailoverPermits, FailoverReservations, serveReservations, SlotAllocator,
} from '../index.js';
import type {AllocatorCandidate} from '../index.js';
import {createReservationRequest} from './requests.js';

/** Time of a message between entries, and of a request at an engine, in milliseconds. */
const messageMs = 2;
const workMs = 5;
const stepMs = 5;

/** Connections in memory whose messages take time; those between entries that are cut off from each other are lost without a sign. */
class LossyNetwork {
	messageCount = 0;
	/** Addresses of entries that are cut off from all others. */
	isolated: ReadonlySet<string> = new Set();
	readonly #timers: ManualTimers;
	readonly #servers = new Map<string, (link: MessageLink) => MessageHandlers>();
	/** How to break each open connection, with the entries at its ends. */
	readonly #connections = new Set<{readonly ends: readonly string[]; readonly abort: (of: string) => void}>();

	constructor(timers: ManualTimers) {
		this.#timers = timers;
	}

	/** Creates the network as one entry sees it. */
	createFor(from: string): MessageNetwork {
		const open = (to: string, handlers: MessageHandlers) => this.#open(from, to, handlers);
		const serve = (address: string, onLink: (link: MessageLink) => MessageHandlers) => {
			this.#servers.set(address, onLink);
		};

		return new class extends MessageNetwork {
			override open(address: string, handlers: MessageHandlers): MessageLink {
				return open(address, handlers);
			}

			override async serve(address: string, onLink: (link: MessageLink) => MessageHandlers): Promise<void> {
				serve(address, onLink);
			}

			override close(): void {
				// Connections end with the test.
			}
		}();
	}

	/** Breaks the connections of an entry and makes it refuse new ones, as the kill of its process does. */
	abort(address: string): void {
		this.#servers.delete(address);
		for (const connection of this.#connections) {
			if (connection.ends.includes(address)) {
				this.#connections.delete(connection);
				connection.abort(address);
			}
		}
	}

	#open(from: string, to: string, handlers: MessageHandlers): MessageLink {
		const ends: MessageHandlers[] = [handlers];
		let isClosed = false;
		const relay = (sender: string, receiver: string, action: () => void) => {
			this.messageCount++;
			this.#timers.startTimer(messageMs, () => {
				if (!isClosed && this.isolated.has(sender) === this.isolated.has(receiver)) {
					action();
				}
			});
		};

		const createEnd = (sender: string, receiver: string, otherIndex: number) => new class extends MessageLink {
			override send(items: readonly unknown[]): void {
				if (!isClosed) {
					const copy = structuredClone(items);
					relay(sender, receiver, () => {
						ends[otherIndex]?.onMessage(copy);
					});
				}
			}

			override close(): void {
				if (!isClosed) {
					ends[1 - otherIndex]?.onClose();
					relay(sender, receiver, () => {
						isClosed = true;
						ends[otherIndex]?.onClose();
					});
				}
			}
		}();
		const callerEnd = createEnd(from, to, 1);
		const server = this.#servers.get(to);
		if (server) {
			ends[1] = server(createEnd(to, from, 0));
		} else {
			this.#timers.startTimer(messageMs, () => {
				handlers.onClose();
			});
		}

		this.#connections.add({
			ends: [from, to],
			abort(of) {
				isClosed = true;
				ends[of === from ? 1 : 0]?.onClose();
			},
		});
		return callerEnd;
	}
}

/** An engine that names limits in its answers. */
export type LimitedEngine = {
	readonly id: string;
	readonly address: string;
	readonly limits: LimitChange[];
	readonly arrivals: Array<{readonly at: number; readonly entry: string}>;
};

/** One entry's process. */
export type LimitEntry = {
	readonly address: string;
	readonly allocator: SlotAllocator;
	readonly reservations: FailoverReservations;
	readonly permits: FailoverPermits;
	readonly fleet: Fleet;
	live: readonly AllocatorCandidate[];
	/** Requests a second that come at this entry. */
	perSecond: number;
	isUp: boolean;
};

/** What became of a request. */
export type LimitResult = {readonly entry: string; readonly at: number; readonly tookMs: number; readonly isServed: boolean; readonly reason: string | undefined; readonly retryAfterMs: number | undefined};

/** Entries in virtual time that send generations, or plain calls with permits, to engines that name limits. */
export class LimitWorld {
	readonly timers = new ManualTimers();
	readonly network = new LossyNetwork(this.timers);
	readonly entries: LimitEntry[] = [];
	readonly engines: LimitedEngine[] = [];
	readonly results: LimitResult[] = [];
	readonly #random: RandomSource;
	readonly #isPlain: boolean;
	readonly #slots: number;

	constructor(entryCount: number, {isPlain, seed = 1, slots = 6}: {readonly isPlain: boolean; readonly seed?: number; readonly slots?: number}) {
		this.#isPlain = isPlain;
		this.#random = new RandomSource(seed);
		this.#slots = slots;
		const candidates = Array.from({length: entryCount}, (_, index) => ({
			vm: `entry${index}:1`, address: `entry${index}:1`, domain: `domain${index % 3}`, cores: 1,
		}));
		for (const {address} of candidates) {
			this.entries.push(this.#createEntry(address, candidates));
		}
	}

	/** Adds an engine, which names a limit from its first answer on unless that is infinite. */
	addEngine(id: string, perSecond: number, address = `${id}:80`): LimitedEngine {
		const engine: LimitedEngine = {
			id, address, limits: [], arrivals: [],
		};
		this.engines.push(engine);
		for (const {fleet} of this.entries) {
			this.#register(fleet, engine);
		}

		if (Number.isFinite(perSecond)) {
			this.setLimit(engine, perSecond);
		}

		return engine;
	}

	setLimit({limits}: LimitedEngine, perSecond: number): void {
		limits.push({from: this.timers.getNow(), perSecond});
	}

	/** Ends an entry's process at once. */
	abortEntry(index: number): void {
		const entry = this.entries[index]!;
		entry.isUp = false;
		this.network.abort(entry.address);
	}

	/** Starts a new process of an entry. */
	restart(index: number): void {
		const {address, live, perSecond} = this.entries[index]!;
		this.entries[index] = this.#createEntry(address, live);
		this.entries[index].perSecond = perSecond;
		for (const engine of this.engines) {
			this.#register(this.entries[index].fleet, engine);
		}
	}

	/** Lets requests come at the entries for some time. */
	async run(durationMs: number): Promise<void> {
		const endsAt = this.timers.getNow() + durationMs;
		while (this.timers.getNow() < endsAt) {
			for (const entry of this.entries) {
				const expected = entry.perSecond * stepMs / 1000;
				const count = Math.floor(expected) + (this.#random.getRandom() < expected % 1 ? 1 : 0);
				for (let index = 0; entry.isUp && index < count; index++) {
					void this.#serve(entry);
				}
			}

			await this.timers.advance(stepMs);
		}
	}

	/** Finds a window in which an engine got more than it allows. */
	findBreach({limits, arrivals}: LimitedEngine): LimitBreach | undefined {
		return findLimitBreach(limits, arrivals.map(({at}) => at));
	}

	/** Counts the requests a second that reached an engine since a time. */
	computeRate({arrivals}: LimitedEngine, from: number): number {
		return arrivals.filter(({at}) => at >= from).length / (this.timers.getNow() - from) * 1000;
	}

	#createEntry(address: string, candidates: readonly AllocatorCandidate[]): LimitEntry {
		const fleet = new Fleet();
		const network = this.network.createFor(address);
		const getRandom = () => this.#random.getRandom();
		const state: {reservations?: FailoverReservations} = {};
		const allocator = new SlotAllocator({
			limits: new RequestLimits(id => fleet.findFirstId(id)), timers: this.timers, fleet, getRandom, getSlotShare: () => state.reservations!.computeSlotShare(), getLimitShare: service => state.reservations!.computeLimitShare(service),
		});
		const entry: {live: readonly AllocatorCandidate[]} = {live: candidates};
		const reservations = new FailoverReservations({
			timers: this.timers, getRandom, network, localAllocator: allocator, localVm: address, localAddress: address, listCandidates: () => entry.live, onAllocatorChange: () => undefined,
		});
		state.reservations = reservations;
		void network.serve(address, link => serveReservations(link, allocator, address));
		return Object.assign(entry, {
			address, allocator, reservations, permits: new FailoverPermits(this.timers, allocator, reservations), fleet, perSecond: 0, isUp: true,
		});
	}

	#register(fleet: Fleet, {id, address}: LimitedEngine): void {
		fleet.onRegistration({
			id, address, service: 'llm', stage: this.#isPlain ? engineStage.any : engineStage.decode, slots: this.#slots, isLeaving: false, startedAt: undefined,
		});
	}

	async #serve(entry: LimitEntry): Promise<void> {
		const at = this.timers.getNow();
		try {
			await (this.#isPlain ? this.#servePlain(entry) : this.#serveGeneration(entry));
			this.#addResult(entry, at, undefined);
		} catch (error) {
			if (!(error instanceof NotRunError)) {
				throw error;
			}

			this.#addResult(entry, at, error);
		}
	}

	async #serveGeneration(entry: LimitEntry): Promise<void> {
		const reservation = await entry.reservations.acquire(createReservationRequest(), new AbortController().signal);
		await this.#send(entry, this.engines.find(({id}) => id === reservation.engines.decodeEngine)!);
		reservation.onPrefillEnd(engineOutcome.answered);
		reservation.release(engineOutcome.answered);
	}

	async #servePlain(entry: LimitEntry): Promise<void> {
		const refused = new Set<LimitedEngine>();
		for (;;) {
			const listed = this.engines.filter(({id}) => entry.fleet.findServing(id));
			const engine = listed.find(candidate => !refused.has(candidate) && entry.permits.computeWaitMs({...candidate, service: 'llm'}) === 0);
			if (!engine) {
				throw new NotRunError('limited', {props: {reason: 'limited', retryAfterMs: entry.permits.scheduleReturnMs(listed.map(({id}) => ({service: 'llm', id})), 600)}});
			}

			const target = {service: 'llm', id: engine.id};
			if (!entry.permits.isLimited(target) || await entry.permits.takePermit(target)) {
				entry.permits.onSend(target);
				await this.#send(entry, engine);
				return;
			}

			refused.add(engine);
		}
	}

	async #send(entry: LimitEntry, {id, limits, arrivals}: LimitedEngine): Promise<void> {
		const sentAt = this.timers.getNow();
		arrivals.push({at: sentAt, entry: entry.address});
		const perSecond = limits.at(-1)?.perSecond ?? Number.POSITIVE_INFINITY;
		await this.timers.sleep(workMs);
		entry.allocator.limits.onAnswer({service: 'llm', id}, perSecond, sentAt, this.timers.getNow());
	}

	#addResult({address}: LimitEntry, at: number, error: InstanceType<typeof NotRunError> | undefined): void {
		this.results.push({
			entry: address, at, tookMs: this.timers.getNow() - at, isServed: error === undefined, reason: error?.reason, retryAfterMs: error?.retryAfterMs,
		});
	}
}
