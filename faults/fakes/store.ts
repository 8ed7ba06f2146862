import {
	LeaseHeldError, StoreConflictError, StoreUnavailableError, StoreUncertainError,
} from '../../src/errors/index.js';
import {absentRevision, Store, VmList} from '../../src/store/index.js';
import type {LeaseGrant, VersionedValue, VmRecord} from '../../src/store/index.js';
import type {TimerService} from '../../src/timers/index.js';

/** A write that took effect, for tests to judge by. */
export type StoreWrite = {readonly key: string; readonly value: string; readonly revision: number};

type Lease = {readonly holder: string; readonly until: number};

/** The contents of the store, shared by the connections of several processes under test. */
export class FakePlatform {
	readonly journal: StoreWrite[] = [];
	readonly values = new Map<string, VersionedValue>();
	readonly leases = new Map<string, Lease>();
	readonly waiters = new Set<() => void>();
	vms: readonly VmRecord[] = [];
	calls = 0;
	constructor(readonly timers: TimerService) {}
}

/** One process's connection to a {@link FakePlatform}, with faults that a test switches on. */
export class FakeStore extends Store {
	/** The store answers nothing; calls have no effect. */
	isDown = false;
	/** How many of the next writes take effect and lose their answer. */
	lostAnswers = 0;
	/** Added to every call, in milliseconds. */
	delayMs = 0;
	constructor(readonly platform: FakePlatform) {
		super();
	}

	async read(key: string): Promise<VersionedValue | undefined> {
		await this.#startCall();
		return this.platform.values.get(key);
	}

	async write(key: string, value: string, expectedRevision: number): Promise<number> {
		await this.#startCall();
		const known = this.platform.values.get(key)?.revision ?? absentRevision;
		if (known !== expectedRevision) {
			throw new StoreConflictError(`${key} is at ${known}, not ${expectedRevision}`);
		}

		const revision = this.platform.journal.length + 1;
		this.platform.values.set(key, {value, revision});
		this.platform.journal.push({key, value, revision});
		for (const wake of this.platform.waiters) {
			wake();
		}

		this.#finishWrite();
		return revision;
	}

	async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined> {
		await this.#startCall();
		const {platform} = this;
		const abort = new AbortController();
		signal?.addEventListener('abort', () => {
			abort.abort();
		}, {once: true});
		const onWrite = () => {
			if ((platform.values.get(key)?.revision ?? absentRevision) > afterRevision) {
				abort.abort();
			}
		};

		platform.waiters.add(onWrite);
		onWrite();
		await platform.timers.sleep(waitMs, abort.signal);
		platform.waiters.delete(onWrite);
		if (this.isDown) {
			throw new StoreUnavailableError('the store went down during a watch');
		}

		const found = platform.values.get(key);
		return found && found.revision > afterRevision ? found : undefined;
	}

	async acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant> {
		await this.#startCall();
		const now = this.platform.timers.getNow();
		const lease = this.platform.leases.get(name);
		if (lease && lease.holder !== holder && lease.until > now) {
			throw new LeaseHeldError(`${name} is held by ${lease.holder}`);
		}

		this.platform.leases.set(name, {holder, until: now + ttlMs});
		this.#finishWrite();
		return {name, holder, ttlMs};
	}

	async release(name: string, holder: string): Promise<void> {
		await this.#startCall();
		if (this.platform.leases.get(name)?.holder === holder) {
			this.platform.leases.delete(name);
		}

		this.#finishWrite();
	}

	async #startCall(): Promise<void> {
		this.platform.calls++;
		if (this.delayMs > 0) {
			await this.platform.timers.sleep(this.delayMs);
		}

		if (this.isDown) {
			throw new StoreUnavailableError('the store is down');
		}
	}

	#finishWrite(): void {
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			throw new StoreUncertainError('the answer was lost');
		}
	}
}

/** The list of VMs of a {@link FakePlatform}; a test sets how it lags by setting `platform.vms`. */
export class FakeVmList extends VmList {
	isDown = false;
	readonly #platform: FakePlatform;

	constructor(platform: FakePlatform) {
		super();
		this.#platform = platform;
	}

	async readVms(): Promise<readonly VmRecord[]> {
		if (this.isDown) {
			throw new StoreUnavailableError('the list of VMs is down');
		}

		return this.#platform.vms;
	}
}
