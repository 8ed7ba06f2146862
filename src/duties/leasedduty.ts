import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, Timer, TimerService} from '../timers/index.js';
import {dutyKey, formatHolder, parseHolder} from './record.js';
import type {DutyRecord} from './record.js';
import {Duty, dutyOutcome} from './types.js';
import type {
	DutyFence, DutyLease, DutyOutcome, DutyStore, StoredValue,
} from './types.js';

export type LeasedDutyOptions = {
	readonly name: string;
	/** Name of this VM. */
	readonly vm: string;
	/** Lifetime of the holder's lease after its last renewal, in milliseconds; also how long a new holder waits before its first call. */
	readonly leaseMs: number;
	/** Time after which a call of the holder is ended, in milliseconds. */
	readonly callTimeoutMs: number;
	/** Whether the deployment starts for the first time: there are no earlier numbers that this entry could not know. */
	readonly isFirstStart?: boolean;
};

export type LeasedDutyDependencies = {
	readonly store: DutyStore;
	readonly timers: TimerService;
	/** Estimates the true time, in milliseconds since the Unix epoch, without the jumps of the wall clock: a number that is ahead of time could only be exceeded by those who know it. */
	readonly getTrueTimeMs: () => number;
	/** Returns a uniform random number in [0, 1). */
	readonly getRandom: () => number;
	/** Whether this entry is the first choice for the duty among the live entries. */
	readonly isPreferred: () => boolean;
	/** Called with each change of the term of this entry: `acquired`, or why it was given up. */
	readonly onTermChange: (duty: string, change: string, number: number) => void;
	/** Called when a call of the store failed, so that the duty could not be acquired or renewed, or its key not be removed. */
	readonly onStoreFailure: (duty: string, task: string, error: unknown) => void;
};

/** One term of this entry as the holder. */
type Term = {
	readonly number: number;
	readonly lease: DutyLease;
	/** Revision of the holder's key; a store may give each write of a transaction its own. */
	revision: number;
	/** Monotonic time from which the holder may call, in milliseconds. */
	readonly callNotBefore: number;
	/** When the last check that found the lease and the holder's key in place was sent: no other entry acquired the duty before. */
	confirmedAt: ClockReading;
	/** When the last such check was sent, whatever came of it. */
	checkedAt: ClockReading;
	/** Monotonic time of the last backward jump of the wall clock, in milliseconds: a suspension at that time would not show. */
	jumpedAt: number;
};

/** The holder as the store names it at a revision of an era; no record when the key is absent or malformed. */
type KnownHolder = {readonly record: DutyRecord | undefined; readonly revision: number; readonly era: number | undefined};

/** Interval at which the lease is renewed, as a share of its lifetime. A renewal is not awaited by the next one, so that one lost answer does not end the term. */
const renewShare = 1 / 3;
/** How much longer than a call the lease has to hold for it to be made, in milliseconds: clocks of the store and of this VM run at slightly different rates. */
const leaseMarginMs = 200;
/** Interval at which a duty is looked at, in milliseconds. */
const checkIntervalMs = 200;
/** Time for which a duty has been without a holder from which entries other than the preferred one try to acquire it, in milliseconds. */
const minAbsentMs = 1000;
/** Chance that such an entry tries at one look: of many entries few try at once, as each try takes several calls of the store. */
const tryChance = 0.08;
/**
Time after its start in which an entry leaves a duty to others, in milliseconds, and time for which the duty has been without a holder from which it tries all the same:
after the store came back from an older copy only entries that were there before know the numbers that the copy lacks.
*/
const newcomerMs = 10_000;
const newcomerMinAbsentMs = 3000;
/** Time after a try that failed in which this entry makes no further one, in milliseconds, before jitter. */
const retryDelayMs = 500;
/** Fall of the wall clock against the monotonic one between two looks that is a jump, in milliseconds; adjustments of the rate are far smaller. */
const minJumpMs = 20;
const millisecondsPerSecond = 1000;

/**
A duty whose holder has a lease in the store, made for a deployment of tens of entries of which each looks at it several times a second and only the holder calls the store.
The fencing token of a term is greater than any that is known, and than the seconds of the true time, so that it rises also when the store comes back from an older copy.

The holder confirms that its key is in place, and calls only while that is less than a lease old at the end of the call; a new holder makes its first call a whole lease
after it acquired the duty. So calls of two holders never overlap or take turns within a lease, whatever became of the store's leases.
*/
export class LeasedDuty extends Duty {
	readonly name: string;
	readonly #options: LeasedDutyOptions;
	readonly #dependencies: LeasedDutyDependencies;
	readonly #incarnation: number;
	/** Monotonic, in milliseconds. */
	readonly #startedAt: number;
	readonly #listeners = new Set<() => void>();
	#term: Term | undefined;
	#wasHeld = false;
	/** `undefined` until the store has told of the key. */
	#known: KnownHolder | undefined;
	#lastHolder: string | undefined;
	/** Highest fencing token that this process has seen. */
	#highestNumber = 0;
	/** Monotonic time since which the store names no holder, in milliseconds; `undefined` while it names one or is not known. */
	#absentSince: number | undefined;
	/** Monotonic time since which the store names this process, which does not hold the duty, in milliseconds. */
	#orphanedSince: number | undefined;
	/** Monotonic time before which the duty is not acquired, in milliseconds. */
	#acquireNotBefore = Number.NEGATIVE_INFINITY;
	/** Wall clock less monotonic clock at the last look, in milliseconds. */
	#clockOffsetMs = Number.NEGATIVE_INFINITY;
	#isBusy = false;
	#isStopped = false;
	#timer: Timer | undefined;

	constructor(options: LeasedDutyOptions, dependencies: LeasedDutyDependencies) {
		super();
		this.name = options.name;
		this.#options = options;
		this.#dependencies = dependencies;
		this.#startedAt = dependencies.timers.getNow();
		this.#incarnation = Math.round(dependencies.timers.getWallTime());
	}

	get isHeld(): boolean {
		return this.#term !== undefined && this.#isCallAllowed(this.#term);
	}

	get number(): number | undefined {
		return this.isHeld ? this.#term?.number : undefined;
	}

	/** Name of the VM that holds the duty, as far as this process knows; `undefined` while there is none. */
	get holder(): string | undefined {
		return this.#known?.record?.holder;
	}

	/** Name of the VM that held the duty last, as far as this process knows, if it does not hold it now. */
	get lastHolder(): string | undefined {
		return this.#lastHolder;
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
		if (!term || !this.#isCallAllowed(term)) {
			return undefined;
		}

		try {
			return await send({holder: this.#options.vm, number: term.number, isSafe: () => this.#term === term && this.#isCallAllowed(term)});
		} catch (error) {
			this.#dependencies.onStoreFailure(this.name, 'call the platform', error);
			return dutyOutcome.uncertain;
		}
	}

	async releaseToPreferred(): Promise<void> {
		const {timers, isPreferred} = this.#dependencies;
		if (this.#term && !isPreferred()) {
			this.#acquireNotBefore = timers.getNow() + this.#options.leaseMs;
			await this.#release('another entry is preferred');
		}
	}

	/** Starts to acquire the duty whenever it has no holder, and to renew its lease. */
	start(): void {
		this.#timer ??= this.#dependencies.timers.startInterval(checkIntervalMs, () => {
			this.#check();
		});
	}

	/** Gives the duty up, for its calls at once, and no longer acquires it. */
	async stop(): Promise<void> {
		this.abort();
		await this.#release('stopped');
	}

	/** Makes no further call of the store, as if the process had been killed. */
	abort(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	/** Handles the value of a key of this duty in the store: that of its holder, or that of its highest fencing token. `undefined` when the key does not exist. */
	onChange(key: string, value: string | undefined, {revision, era}: Omit<StoredValue, 'value'>): void {
		if (key === dutyKey.formatNumberKey(this.name)) {
			this.#onNumber(Number(value ?? 0));
		} else if (key === dutyKey.formatHolderKey(this.name)) {
			this.#onHolder({record: value === undefined ? undefined : parseHolder(value), revision, era});
		}
	}

	/** Handles that the store came back from an older copy: what it says of holders no longer holds. */
	onStoreReplaced(): void {
		this.#acquireNotBefore = this.#dependencies.timers.getNow() + this.#options.leaseMs;
		this.#known = undefined;
		this.#absentSince = undefined;
		this.#orphanedSince = undefined;
		this.#finishTerm('store came back from an older copy');
	}

	#onNumber(number: number): void {
		if (Number.isSafeInteger(number)) {
			this.#highestNumber = Math.max(this.#highestNumber, number);
		}
	}

	#onHolder(found: KnownHolder): void {
		const {record, revision, era} = found;
		this.#onNumber(record?.number ?? 0);
		// Changes come late through other entries, and after answers that are newer.
		if (this.#known && this.#known.era === era && revision < this.#known.revision) {
			return;
		}

		this.#known = found;
		this.#lastHolder = record?.holder ?? this.#lastHolder;
		const now = this.#dependencies.timers.getNow();
		this.#absentSince = record ? undefined : this.#absentSince ?? now;
		const term = this.#term;
		const isOwn = this.#isOwn(record);
		const isTerm = isOwn && record?.number === term?.number;
		this.#orphanedSince = isOwn && !isTerm ? this.#orphanedSince ?? now : undefined;
		if (term && !isTerm && (era !== term.lease.era || revision > term.revision)) {
			this.#finishTerm('another entry holds it');
		}
	}

	/** Whether a record was written by this process. */
	#isOwn(record: DutyRecord | undefined): boolean {
		return record?.holder === this.#options.vm && record.incarnation === this.#incarnation;
	}

	#check(): void {
		if (this.#isStopped) {
			return;
		}

		if (this.#hasJumpedBack() && this.#term) {
			this.#term.jumpedAt = this.#dependencies.timers.getNow();
		}

		this.#clockOffsetMs = this.#computeClockOffsetMs();
		if (this.#term) {
			void this.#tryConfirm(this.#term);
		} else if (!this.#isBusy) {
			void this.#tryAcquire();
		}

		this.#notifyChange();
	}

	/** Renews the lease and checks that the store still names this term, if it is time for that. */
	async #tryConfirm(term: Term): Promise<void> {
		const {store, timers} = this.#dependencies;
		// On the monotonic clock: after a suspension or a jump of the wall clock, which let no call be made, the store tells whether the term goes on.
		if (timers.getNow() - term.confirmedAt.now >= this.#options.leaseMs) {
			await this.#release('lease not renewed in time');
			return;
		}

		if (term.checkedAt.now >= term.jumpedAt && measureElapsedMs(timers, term.checkedAt) < this.#options.leaseMs * renewShare) {
			return;
		}

		const sentAt = readClocks(timers);
		term.checkedAt = sentAt;
		try {
			const [isRenewed, {value, revision, era}] = await Promise.all([store.renewLease(term.lease), store.read(dutyKey.formatHolderKey(this.name))]);
			if (this.#term !== term) {
				return;
			}

			const record = value === undefined ? undefined : parseHolder(value);
			if (isRenewed && era === term.lease.era && this.#isOwn(record) && record?.number === term.number) {
				term.revision = revision;
				term.confirmedAt = sentAt.now > term.confirmedAt.now ? sentAt : term.confirmedAt;
			} else {
				this.#onHolder({record, revision, era});
				await this.#release('lease ended');
			}
		} catch (error) {
			this.#dependencies.onStoreFailure(this.name, 'renew', error);
		}
	}

	async #tryAcquire(): Promise<void> {
		const now = this.#dependencies.timers.getNow();
		if (now < this.#acquireNotBefore) {
			return;
		}

		this.#isBusy = true;
		try {
			if (this.#orphanedSince !== undefined && now - this.#orphanedSince >= this.#options.leaseMs) {
				await this.#removeOrphan();
			} else if (this.#absentSince !== undefined && this.#isTryDue(now - this.#absentSince)) {
				await this.#acquire();
			}
		} catch (error) {
			this.#scheduleTry();
			this.#dependencies.onStoreFailure(this.name, 'acquire', error);
		} finally {
			this.#isBusy = false;
		}
	}

	/** Decides whether this entry tries to acquire a duty that has been without a holder for `absentMs`: the preferred one at once, of the others a few. */
	#isTryDue(absentMs: number): boolean {
		const {timers, isPreferred, getRandom} = this.#dependencies;
		const isNewcomer = !this.#options.isFirstStart && timers.getNow() - this.#startedAt < newcomerMs;
		const waitMs = isNewcomer ? newcomerMinAbsentMs : 0;
		return absentMs >= waitMs && (isPreferred() || (absentMs >= waitMs + minAbsentMs && getRandom() < tryChance));
	}

	/** Puts the next try off, so that a slow store is not called all the time, and not by all entries together. */
	#scheduleTry(): void {
		const {timers, getRandom} = this.#dependencies;
		this.#acquireNotBefore = Math.max(this.#acquireNotBefore, timers.getNow() + (retryDelayMs * (0.5 + getRandom())));
	}

	async #acquire(): Promise<void> {
		const {store, timers, onTermChange} = this.#dependencies;
		const {name, vm, leaseMs} = this.#options;
		const holderKey = dutyKey.formatHolderKey(name);
		const numberKey = dutyKey.formatNumberKey(name);
		const found = await store.read(holderKey);
		const record = found.value === undefined ? undefined : parseHolder(found.value);
		this.#onHolder({record, revision: found.revision, era: found.era});
		if (record) {
			return;
		}

		const highest = await store.read(numberKey);
		this.#onNumber(Number(highest.value ?? 0));
		const number = Math.max(this.#highestNumber, Math.floor(this.#dependencies.getTrueTimeMs() / millisecondsPerSecond)) + 1;
		const sentAt = readClocks(timers);
		const lease = await store.acquireLease(leaseMs);
		if (this.#isStopped || timers.getNow() < this.#acquireNotBefore || lease.era !== found.era || lease.era !== highest.era) {
			return;
		}

		// A malformed record is replaced: nothing else would end it. When the answer is lost, the key goes with its lease, which nobody renews.
		const revision = await store.tryTransact(new Map([[holderKey, found.revision], [numberKey, highest.revision]]), [
			{key: numberKey, value: String(number)},
			// Last: a store that counts each write of a transaction answers with the revision of the last one, by which the term is confirmed.
			{key: holderKey, value: formatHolder({holder: vm, number, incarnation: this.#incarnation}), lease},
		]);
		if (revision === undefined) {
			this.#scheduleTry();
			return;
		}

		this.#onNumber(number);
		const now = timers.getNow();
		if (now < this.#acquireNotBefore) {
			// The store came back from an older copy meanwhile.
			return;
		}

		this.#term = {
			number, lease, revision, callNotBefore: now + leaseMs, confirmedAt: sentAt, checkedAt: sentAt, jumpedAt: Number.NEGATIVE_INFINITY,
		};
		this.#known = {record: {holder: vm, number, incarnation: this.#incarnation}, revision, era: lease.era};
		this.#lastHolder = vm;
		this.#absentSince = undefined;
		this.#orphanedSince = undefined;
		if (this.#isStopped) {
			await this.#release('stopped');
			return;
		}

		onTermChange(name, 'acquired', number);
	}

	/** Removes a key that names this process, which does not hold the duty: a write that took effect late, under a lease that has become another's, would stay. */
	async #removeOrphan(): Promise<void> {
		const known = this.#known;
		this.#orphanedSince = undefined;
		if (known?.record) {
			const key = dutyKey.formatHolderKey(this.name);
			await this.#dependencies.store.tryTransact(new Map([[key, known.revision]]), [], [key]);
		}
	}

	/** Ends the term of this entry, at once for its calls and then in the store. */
	async #release(reason: string): Promise<void> {
		const term = this.#term;
		if (!term) {
			return;
		}

		this.#finishTerm(reason);
		const key = dutyKey.formatHolderKey(this.name);
		try {
			// Not by the end of the lease: executed late, that could end a lease that has become another process's.
			await this.#dependencies.store.tryTransact(new Map([[key, term.revision]]), [], [key]);
		} catch (error) {
			// The key goes with its lease.
			this.#dependencies.onStoreFailure(this.name, 'give up', error);
		}
	}

	#finishTerm(reason: string): void {
		const term = this.#term;
		if (term) {
			this.#term = undefined;
			this.#scheduleTry();
			this.#dependencies.onTermChange(this.name, reason, term.number);
			this.#notifyChange();
		}
	}

	/** Whether a call that begins now ends before another entry can make one. The wait of a new holder is measured on the monotonic clock alone: a jump of the wall clock must not shorten it. */
	#isCallAllowed(term: Term): boolean {
		return this.#isSafe(term) && this.#dependencies.timers.getNow() >= term.callNotBefore;
	}

	#isSafe({confirmedAt, jumpedAt}: Term): boolean {
		const {leaseMs, callTimeoutMs} = this.#options;
		return confirmedAt.now >= jumpedAt && !this.#hasJumpedBack() && measureElapsedMs(this.#dependencies.timers, confirmedAt) + callTimeoutMs + leaseMarginMs < leaseMs;
	}

	/** Whether the wall clock has fallen since the last look. */
	#hasJumpedBack(): boolean {
		return this.#computeClockOffsetMs() < this.#clockOffsetMs - minJumpMs;
	}

	#computeClockOffsetMs(): number {
		const {now, wall} = readClocks(this.#dependencies.timers);
		return wall - now;
	}

	#notifyChange(): void {
		const {isHeld} = this;
		if (isHeld !== this.#wasHeld) {
			this.#wasHeld = isHeld;
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}
}
