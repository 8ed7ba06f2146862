import {StoreUnavailableError, StoreUncertainError} from '../errors/index.js';
import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, Timer, TimerService} from '../timers/index.js';
import {dutyKey, formatHolder, parseHolder} from './record.js';
import type {DutyRecord} from './record.js';
import {Duty} from './types.js';
import type {
	DutyFence, DutyLease, DutyOutcome, DutyStore,
} from './types.js';

export type LeasedDutyOptions = {
	readonly name: string;
	/** Name of this VM. */
	readonly vm: string;
	/** Lifetime of the holder's lease after its last renewal, in milliseconds; also how long a new holder waits before its first call. */
	readonly leaseMs: number;
	/** Time after which a call of the holder is ended, in milliseconds. */
	readonly callTimeoutMs: number;
};

export type LeasedDutyDependencies = {
	readonly store: DutyStore;
	readonly timers: TimerService;
	/** Returns a uniform random number in [0, 1). */
	readonly getRandom: () => number;
	/** Whether this entry is the first choice for the duty among the live entries. */
	readonly isPreferred: () => boolean;
	/** Called with each change of the term of this entry: `acquired`, or why it was given up. */
	readonly onTermChange: (duty: string, change: string, number: number) => void;
	/** Called when the duty could not be acquired or renewed, or its lease not be ended. */
	readonly onStoreFailure: (duty: string, task: string, error: unknown) => void;
};

/** One term of this entry as the holder. */
type Term = {
	readonly number: number;
	readonly lease: DutyLease;
	readonly acquiredAt: ClockReading;
	/** When the last renewal that succeeded was sent: the store counts the lease from a later time. */
	renewedAt: ClockReading;
};

/** Interval at which the lease is renewed, as a share of its lifetime. */
const renewShare = 1 / 3;
/** How much longer than a call the lease has to hold for it to be made, in milliseconds: clocks of the store and of this VM run at slightly different rates. */
const leaseMarginMs = 200;
/** Interval at which a duty without a holder is looked at, in milliseconds. */
const checkIntervalMs = 200;
/** Time for which a duty has been without a holder from which entries other than the preferred one try to acquire it, in milliseconds. */
const minAbsentMs = 1000;
/** Chance that such an entry tries at one look: of many entries few try at once, as each try takes several calls of the store. */
const tryChance = 0.08;
const millisecondsPerSecond = 1000;

/**
A duty whose holder has a lease in the store. The fencing token of a term is greater than any that is known, and than the seconds of the wall
clock, so that it rises also when the store comes back from an older copy. The holder calls only while its lease lasts longer than the call, and a new one only when a whole
lease has passed since it acquired the duty: two holders never take turns within that time.
*/
export class LeasedDuty extends Duty {
	readonly name: string;
	readonly #options: LeasedDutyOptions;
	readonly #dependencies: LeasedDutyDependencies;
	readonly #incarnation: number;
	readonly #listeners = new Set<() => void>();
	#term: Term | undefined;
	/** The holder as the store names it; `undefined` while there is none. */
	#holder: DutyRecord | undefined;
	/** Highest fencing token that this process has seen. */
	#highestNumber = 0;
	/** Monotonic time since which the store names no holder, in milliseconds; `undefined` while it names one or is not known. */
	#absentSince: number | undefined;
	/** Monotonic time before which the duty is not acquired, in milliseconds. */
	#acquireNotBefore = Number.NEGATIVE_INFINITY;
	#isBusy = false;
	#isStopped = false;
	#timer: Timer | undefined;

	constructor(options: LeasedDutyOptions, dependencies: LeasedDutyDependencies) {
		super();
		this.name = options.name;
		this.#options = options;
		this.#dependencies = dependencies;
		this.#incarnation = Math.round(dependencies.timers.getWallTime());
	}

	get isHeld(): boolean {
		const term = this.#term;
		return term !== undefined && this.#isLeaseSafe(term) && measureElapsedMs(this.#dependencies.timers, term.acquiredAt) >= this.#options.leaseMs;
	}

	get number(): number | undefined {
		return this.isHeld ? this.#term?.number : undefined;
	}

	/** Name of the VM that holds the duty, as far as this process knows; `undefined` while there is none. */
	get holder(): string | undefined {
		return this.#holder?.holder;
	}

	/** Highest fencing token that this process has seen. */
	get highestNumber(): number {
		return this.#highestNumber;
	}

	subscribe(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	async tryCall(send: (fence: DutyFence) => Promise<DutyOutcome>): Promise<DutyOutcome | undefined> {
		const term = this.#term;
		return term && this.isHeld ? send({holder: this.#options.vm, number: term.number}) : undefined;
	}

	/** Starts to acquire the duty whenever it has no holder, and to renew its lease. */
	start(): void {
		this.#timer ??= this.#dependencies.timers.startInterval(checkIntervalMs, () => {
			void this.#check();
		});
	}

	/** Gives the duty up and no longer acquires it. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#timer?.cancel();
		await this.#giveUp('stopped');
	}

	/** Handles the value of a key of this duty in the store: that of its holder, or that of its highest fencing token. `undefined` when the key does not exist. */
	onChange(key: string, value: string | undefined): void {
		if (key === dutyKey.formatNumberKey(this.name)) {
			this.#onNumber(Number(value ?? 0));
		} else if (key === dutyKey.formatHolderKey(this.name)) {
			this.#onHolder(value === undefined ? undefined : parseHolder(value));
		}
	}

	/** Handles that the store came back from an older copy: what it says of leases no longer holds. */
	onStoreReplaced(): void {
		this.#acquireNotBefore = this.#dependencies.timers.getNow() + this.#options.leaseMs;
		this.#absentSince = undefined;
		void this.#giveUp('store came back from an older copy');
	}

	#onNumber(number: number): void {
		if (Number.isSafeInteger(number)) {
			this.#highestNumber = Math.max(this.#highestNumber, number);
		}
	}

	#onHolder(record: DutyRecord | undefined): void {
		this.#holder = record;
		if (!record) {
			this.#absentSince ??= this.#dependencies.timers.getNow();
			return;
		}

		this.#absentSince = undefined;
		this.#onNumber(record.number);
		if (this.#term && record.number > this.#term.number) {
			void this.#giveUp('another entry holds it');
		}
	}

	async #check(): Promise<void> {
		if (this.#isBusy || this.#isStopped) {
			return;
		}

		this.#isBusy = true;
		try {
			await (this.#term ? this.#tryRenew(this.#term) : this.#tryAcquire());
		} finally {
			this.#isBusy = false;
		}
	}

	async #tryRenew(term: Term): Promise<void> {
		const {store, timers} = this.#dependencies;
		if (!this.#isLeaseSafe(term)) {
			await this.#giveUp('lease not renewed in time');
			return;
		}

		if (measureElapsedMs(timers, term.renewedAt) < this.#options.leaseMs * renewShare) {
			return;
		}

		const sentAt = readClocks(timers);
		try {
			if (await store.renewLease(term.lease)) {
				term.renewedAt = sentAt;
			} else if (this.#term === term) {
				await this.#giveUp('lease ended');
			}
		} catch (error) {
			this.#onStoreFailure('renew', error);
		}
	}

	async #tryAcquire(): Promise<void> {
		const {timers, isPreferred, getRandom} = this.#dependencies;
		const now = timers.getNow();
		if (this.#absentSince === undefined || now < this.#acquireNotBefore || !(isPreferred() || (now - this.#absentSince >= minAbsentMs && getRandom() < tryChance))) {
			return;
		}

		// A failed try is repeated like a first one, so that a slow store is not called all the time.
		this.#absentSince = now;
		try {
			await this.#acquire();
		} catch (error) {
			this.#onStoreFailure('acquire', error);
		}
	}

	async #acquire(): Promise<void> {
		const {store, timers, onTermChange} = this.#dependencies;
		const {name, vm, leaseMs} = this.#options;
		const holder = await store.read(dutyKey.formatHolderKey(name));
		if (holder.value !== undefined) {
			this.#onHolder(parseHolder(holder.value));
			return;
		}

		const highest = await store.read(dutyKey.formatNumberKey(name));
		this.#onNumber(Number(highest.value ?? 0));
		const number = Math.max(this.#highestNumber, Math.floor(timers.getWallTime() / millisecondsPerSecond)) + 1;
		const sentAt = readClocks(timers);
		const lease = await store.acquireLease(leaseMs);
		const expected = new Map([[dutyKey.formatHolderKey(name), 0], [dutyKey.formatNumberKey(name), highest.revision]]);
		let revision: number | undefined;
		try {
			revision = await store.tryTransact(expected, [
				{key: dutyKey.formatHolderKey(name), value: formatHolder({holder: vm, number, incarnation: this.#incarnation}), lease},
				{key: dutyKey.formatNumberKey(name), value: String(number)},
			]);
		} finally {
			// A write whose answer was lost may have taken effect: it goes with its lease.
			if (revision === undefined || this.#isStopped) {
				await this.#tryEndLease(lease);
			}
		}

		if (revision !== undefined && !this.#isStopped) {
			this.#onNumber(number);
			this.#term = {
				number, lease, acquiredAt: readClocks(timers), renewedAt: sentAt,
			};
			onTermChange(name, 'acquired', number);
			this.#notify();
		}
	}

	/** Ends the term of this entry, at once for its calls and then in the store. */
	async #giveUp(reason: string): Promise<void> {
		const term = this.#term;
		if (term) {
			this.#term = undefined;
			this.#dependencies.onTermChange(this.name, reason, term.number);
			this.#notify();
			await this.#tryEndLease(term.lease);
		}
	}

	async #tryEndLease(lease: DutyLease): Promise<void> {
		try {
			await this.#dependencies.store.endLease(lease);
		} catch (error) {
			// It ends by itself.
			this.#onStoreFailure('end the lease', error);
		}
	}

	/** Whether the lease lasts for longer than a call that begins now. */
	#isLeaseSafe({renewedAt}: Term): boolean {
		const {leaseMs, callTimeoutMs} = this.#options;
		return measureElapsedMs(this.#dependencies.timers, renewedAt) + callTimeoutMs + leaseMarginMs < leaseMs;
	}

	#onStoreFailure(task: string, error: unknown): void {
		if (!(error instanceof StoreUnavailableError || error instanceof StoreUncertainError)) {
			this.#dependencies.onStoreFailure(this.name, `${task}, unexpectedly`, error);
			return;
		}

		this.#dependencies.onStoreFailure(this.name, task, error);
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
