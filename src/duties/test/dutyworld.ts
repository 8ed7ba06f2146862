import {expect} from 'chai';
import {StoreUncertainError, StoreUnavailableError} from '../../errors/index.js';
import {ManualTimers, TimerService} from '../../timers/index.js';
import type {Timer} from '../../timers/index.js';
import {
	dutyKey, dutyOutcome, DutyPlatform, DutyStore, LeasedDuty,
} from '../index.js';
import type {
	DutyFence, DutyLease, DutyOutcome, EngineOrder, StoredValue, StoreWrite,
} from '../index.js';

/** Lifetime of a lease in these tests, in milliseconds. */
export const leaseMs = 3000;
const callTimeoutMs = 500;

type Item = {readonly value: string; readonly revision: number; readonly lease: number};
type Contents = {readonly revision: number; readonly nextLease: number; readonly items: ReadonlyMap<string, Item>; readonly leases: ReadonlyMap<number, number>};

/** Contents of a store that is shared by several VMs, on true time: leases lapse, and it may go back to an earlier copy. */
export class SharedStore {
	era = 1;
	calls = 0;
	/** Called with each change, as the store tells it to all watchers. */
	onChange: ((key: string, value: string | undefined, position: Omit<StoredValue, 'value'>) => void) | undefined;
	/** Called at a rise of the era. */
	onReplaced: (() => void) | undefined;
	readonly #timers: TimerService;
	#revision = 1;
	#nextLease = 1;
	#items = new Map<string, Item>();
	/** Ends of the leases by their ids. */
	#leases = new Map<number, number>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	exportCopy(): Contents {
		return {
			revision: this.#revision, nextLease: this.#nextLease, items: new Map(this.#items), leases: new Map([...this.#leases.keys()].map(id => [id, leaseMs])),
		};
	}

	replaceContents({revision, nextLease, items, leases}: Contents): void {
		this.era++;
		this.#revision = revision;
		this.#nextLease = nextLease;
		this.#items = new Map(items);
		this.#leases = new Map([...leases].map(([id, ttlMs]) => [id, this.#timers.getNow() + ttlMs]));
		this.onReplaced?.();
		for (const [key, item] of this.#items) {
			this.#publish(key, item.value, item.revision);
		}

		this.#publish(dutyKey.formatHolderKey('usage'), this.#items.get(dutyKey.formatHolderKey('usage'))?.value, this.#revision);
	}

	acquireLease(): DutyLease {
		const id = this.#nextLease++;
		this.#leases.set(id, this.#timers.getNow() + leaseMs);
		return {id, era: this.era};
	}

	renewLease(lease: DutyLease): boolean {
		this.expireLeases();
		if (!this.#leases.has(lease.id)) {
			return false;
		}

		this.#leases.set(lease.id, this.#timers.getNow() + leaseMs);
		return lease.era === this.era;
	}

	tryTransact(expected: ReadonlyMap<string, number>, writes: readonly StoreWrite[], removedKeys: readonly string[]): number | undefined {
		this.expireLeases();
		const isMet = [...expected].every(([key, revision]) => (this.#items.get(key)?.revision ?? 0) === revision)
			&& writes.every(({lease}) => !lease || this.#leases.has(lease.id));
		if (!isMet) {
			return undefined;
		}

		this.#revision++;
		for (const key of removedKeys) {
			this.#items.delete(key);
			this.#publish(key, undefined, this.#revision);
		}

		for (const {key, value, lease} of writes) {
			this.#items.set(key, {value, revision: this.#revision, lease: lease?.id ?? 0});
			this.#publish(key, value, this.#revision);
		}

		return writes.every(({lease}) => !lease || lease.era === this.era) ? this.#revision : undefined;
	}

	read(key: string): StoredValue {
		this.expireLeases();
		const item = this.#items.get(key);
		return {value: item?.value, revision: item?.revision ?? 0, era: this.era};
	}

	listKeys(prefix: string): string[] {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix));
	}

	expireLeases(): void {
		for (const [id, endsAt] of this.#leases) {
			if (endsAt <= this.#timers.getNow()) {
				this.#leases.delete(id);
				for (const [key, item] of this.#items) {
					if (item.lease === id) {
						this.#revision++;
						this.#items.delete(key);
						this.#publish(key, undefined, this.#revision);
					}
				}
			}
		}
	}

	#publish(key: string, value: string | undefined, revision: number): void {
		this.onChange?.(key, value, {revision, era: this.era});
	}
}

/** How one VM's calls of the store go. */
export type PathState = {
	isCut: boolean;
	/** Whether calls are turned away at once. */
	isRefused: boolean;
	delayMs: number;
	/** Number of the next calls that get no answer. */
	lostAnswers: number;
	/** Time after which a call without an answer takes effect all the same, in milliseconds; `undefined`: never. */
	lateMs: number | undefined;
};

/** The shared store as one VM reaches it. */
export class StorePath extends DutyStore {
	readonly state: PathState = {
		isCut: false, isRefused: false, delayMs: 4, lostAnswers: 0, lateMs: undefined,
	};

	readonly #store: SharedStore;
	/** The clocks of the VM, and those of what goes on when the VM does not. */
	readonly #timers: TimerService;
	readonly #network: TimerService;

	constructor(store: SharedStore, timers: TimerService, network: TimerService) {
		super();
		this.#store = store;
		this.#network = network;
		this.#timers = timers;
	}

	async acquireLease(): Promise<DutyLease> {
		return this.#call(() => this.#store.acquireLease());
	}

	async renewLease(lease: DutyLease): Promise<boolean> {
		return this.#call(() => this.#store.renewLease(lease));
	}

	async tryTransact(expected: ReadonlyMap<string, number>, writes: readonly StoreWrite[], removedKeys: readonly string[] = []): Promise<number | undefined> {
		return this.#call(() => this.#store.tryTransact(expected, writes, removedKeys));
	}

	async read(key: string): Promise<StoredValue> {
		return this.#call(() => this.#store.read(key));
	}

	async #call<Result>(run: () => Result): Promise<Result> {
		this.#store.calls++;
		const {isCut, isRefused, delayMs, lateMs} = this.state;
		if (isRefused) {
			await this.#timers.sleep(delayMs);
			throw new StoreUnavailableError('refused');
		}

		if (isCut) {
			await this.#timers.sleep(1500);
			throw new StoreUnavailableError('cut off');
		}

		if (this.state.lostAnswers > 0) {
			this.state.lostAnswers--;
			if (lateMs !== undefined) {
				this.#network.startTimer(lateMs, run);
			}

			await this.#timers.sleep(1500);
			throw new StoreUncertainError('answer lost');
		}

		await this.#timers.sleep(delayMs / 2);
		const result = run();
		await this.#timers.sleep(delayMs / 2);
		return result;
	}
}

/** A call as it reached the platform. */
export type PlatformCall = DutyFence & {readonly at: number; readonly kind: string};

/** Records the calls that reach the platform, at true time. */
export class RecordingPlatform extends DutyPlatform {
	readonly calls: PlatformCall[] = [];
	readonly reports: Array<{readonly window: number; readonly counts: string; readonly at: number; readonly number: number}> = [];
	/** Outcomes of the next calls, which take effect all the same. */
	readonly nextOutcomes: DutyOutcome[] = [];
	/** Time that a call takes until it reaches the platform, in milliseconds. */
	transitMs = 0;
	readonly #timers: TimerService;

	constructor(timers: TimerService) {
		super();
		this.#timers = timers;
	}

	async reportUsage(window: number, counts: ReadonlyMap<string, number>, fence: DutyFence): Promise<DutyOutcome> {
		this.reports.push({
			window, counts: JSON.stringify(Object.fromEntries(counts)), at: this.#timers.getNow(), number: fence.number,
		});
		return this.#record('usage', fence);
	}

	async orderEngines(_order: EngineOrder, fence: DutyFence): Promise<DutyOutcome> {
		return this.#record('scale', fence);
	}

	async #record(kind: string, fence: DutyFence): Promise<DutyOutcome> {
		await this.#timers.sleep(this.transitMs);
		this.calls.push({...fence, kind, at: this.#timers.getNow()});
		return this.nextOutcomes.shift() ?? dutyOutcome.accepted;
	}
}

/** The clocks of one VM: it may be suspended, its wall clock may jump, and it may be killed. */
export class VmTimers extends TimerService {
	#suspendedMs = 0;
	#jumpMs = 0;
	#suspendedAt: number | undefined;
	#isDead = false;
	readonly #held: Array<() => void> = [];
	readonly #base: ManualTimers;

	constructor(base: ManualTimers) {
		super();
		this.#base = base;
	}

	get isSuspended(): boolean {
		return this.#suspendedAt !== undefined;
	}

	/** Stops at a suspension: the monotonic clock does not count it. */
	getNow(): number {
		return (this.#suspendedAt ?? this.#base.getNow()) - this.#suspendedMs;
	}

	getWallTime(): number {
		return this.#base.getWallTime() + this.#jumpMs;
	}

	startTimer(delayMs: number, action: () => void): Timer {
		let isCancelled = false;
		const run = () => {
			if (!isCancelled && !this.#isDead) {
				action();
			}
		};

		const timer = this.#base.startTimer(delayMs, () => {
			if (this.#suspendedAt === undefined) {
				run();
			} else {
				this.#held.push(run);
			}
		});
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}

	shiftWallTime(ms: number): void {
		this.#jumpMs += ms;
	}

	startSuspension(): void {
		this.#suspendedAt ??= this.#base.getNow();
	}

	resume(): void {
		if (this.#suspendedAt !== undefined) {
			this.#suspendedMs += this.#base.getNow() - this.#suspendedAt;
			this.#suspendedAt = undefined;
			for (const run of this.#held.splice(0)) {
				run();
			}
		}
	}

	abort(): void {
		this.#isDead = true;
	}
}

/** One candidate for the duty: a process on a VM. */
export type Candidate = {readonly vm: string; readonly timers: VmTimers; readonly path: StorePath; readonly duty: LeasedDuty};

/** Candidates for one duty, their store and the platform. Each holder calls the platform ten times a second, as often as it may. */
export class DutyWorld {
	readonly timers = new ManualTimers();
	readonly store = new SharedStore(this.timers);
	readonly platform = new RecordingPlatform(this.timers);
	readonly candidates: Candidate[] = [];
	readonly changes: string[] = [];
	/** Time after which candidates learn of a change, in milliseconds. */
	feedDelayMs = 50;
	/** VMs that learn of no changes. */
	readonly cutFeeds = new Set<string>();
	/** Called at a rise of the store's era. */
	readonly replacedListeners = new Set<() => void>();
	/** Whether holders call the platform all the time. */
	isCalling = true;
	readonly #getRandom: () => number;

	constructor(getRandom: () => number = () => 0) {
		this.#getRandom = getRandom;
		this.store.onChange = (key, value, position) => {
			this.timers.startTimer(this.feedDelayMs, () => {
				this.#notifyAll(duty => {
					duty.onChange(key, value, position);
				});
			});
		};

		this.store.onReplaced = () => {
			this.#notifyAll(duty => {
				duty.onStoreReplaced();
			});

			for (const listener of this.replacedListeners) {
				listener();
			}
		};

		this.timers.startInterval(10, () => {
			this.store.expireLeases();
		});
	}

	/** Starts a process; one that had the VM before has ended. */
	startCandidate(vm: string, isPreferred = false): Candidate {
		const timers = new VmTimers(this.timers);
		const path = new StorePath(this.store, timers, this.timers);
		const duty = new LeasedDuty({
			name: 'usage', vm, leaseMs, callTimeoutMs,
		}, {
			store: path, timers, getRandom: this.#getRandom, getTrueTimeMs: () => this.timers.getWallTime(), isPreferred: () => isPreferred,
			onTermChange: (_duty, change, number) => {
				this.changes.push(`${vm} ${change} ${number}`);
			},
			onStoreFailure() {
				// The tests look at what reaches the platform.
			},
		});
		const candidate = {
			vm, timers, path, duty,
		};
		this.candidates.push(candidate);
		for (const key of [dutyKey.formatNumberKey('usage'), dutyKey.formatHolderKey('usage')]) {
			const {value, ...position} = this.store.read(key);
			duty.onChange(key, value, position);
		}

		duty.start();
		timers.startInterval(100, () => {
			void duty.tryCall(async fence => this.isCalling && fence.isSafe()
				? this.platform.orderEngines({
					service: 'm', domain: 'z', isSpot: false, desired: 1,
				}, fence)
				: dutyOutcome.refused);
		});
		return candidate;
	}

	/** Ends a process without notice. */
	abortCandidate(candidate: Candidate): void {
		candidate.timers.abort();
		candidate.duty.abort();
		this.candidates.splice(this.candidates.indexOf(candidate), 1);
	}

	/** Advances in steps that keep the order of timers of all VMs. */
	async advance(ms: number): Promise<void> {
		await this.timers.advance(ms);
	}

	/** Waits until a candidate makes calls. */
	async waitForCall(vm: string, timeoutMs = 15_000): Promise<void> {
		const {length} = this.platform.calls;
		for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 100) {
			if (this.platform.calls.slice(length).some(({holder}) => holder === vm)) {
				return;
			}

			await this.advance(100);
		}

		throw new Error(`${vm} made no call within ${timeoutMs} ms: ${this.changes.join('; ')}`);
	}

	/** Checks what must hold over all calls that reached the platform. Returns the violations. */
	listViolations(): string[] {
		const violations: string[] = [];
		const holders = new Map<number, string>();
		const {calls} = this.platform;
		let highest = 0;
		const turns: PlatformCall[] = [];
		for (const call of calls) {
			if (call.number < highest) {
				violations.push(`number ${call.number} after ${highest}`);
			}

			highest = Math.max(highest, call.number);
			if ((holders.get(call.number) ?? call.holder) !== call.holder) {
				violations.push(`number ${call.number} of two holders`);
			}

			holders.set(call.number, call.holder);
			if (turns.at(-1)?.holder !== call.holder) {
				const [before, between] = [turns.at(-2), turns.at(-1)];
				// The last call of the holder before the one between, to the first one after it.
				const last = between && calls.findLast(({holder, at}) => holder === call.holder && at <= between.at);
				if (before?.holder === call.holder && last && call.at - last.at < leaseMs) {
					violations.push(`${call.holder}, ${between.holder}, ${call.holder} within ${call.at - last.at} ms`);
				}

				turns.push(call);
			}
		}

		return violations;
	}

	expectNoViolations(): void {
		expect(this.listViolations().slice(0, 3), this.changes.join('; ')).to.deep.equal([]);
	}

	/** Tells each process that the changes reach, one that is suspended when it resumes. */
	#notifyAll(notify: (duty: LeasedDuty) => void): void {
		for (const {vm, timers, duty} of this.candidates) {
			if (!this.cutFeeds.has(vm)) {
				timers.startTimer(0, () => {
					notify(duty);
				});
			}
		}
	}
}
