import {LeaseHeldError, StoreUnavailableError, StoreUncertainError} from '../errors/index.js';
import type {Store} from '../store/index.js';
import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, TimerService} from '../timers/index.js';

/** Status of the authority over a failure domain, as seen by this process. */
export abstract class AuthorityStatus {
	/** Whether this process holds the authority, by its own clocks. Only the fence proves it: clocks can be wrong. */
	abstract isHolder(): boolean;
}

/** What a {@link Lease} needs. */
export type LeaseDependencies = {
	readonly store: Store;
	readonly timers: TimerService;
	readonly name: string;
	/** Identifies the process that acquires the lease; unique for each start of the process. */
	readonly holder: string;
	/** Time after which the store expires a lease that is not renewed, in milliseconds. */
	readonly ttlMs: number;
	/** How long before the lease expires in the store its holder stops acting, in milliseconds. */
	readonly marginMs: number;
};

/**
A lease in the store. Its age is counted from when the last successful renewal was sent, on the monotonic clock (which
stops while the VM is suspended) or the wall clock (which may jump), whichever shows more elapsed time.
*/
export class Lease extends AuthorityStatus {
	readonly #dependencies: LeaseDependencies;
	#renewalSentAt: ClockReading | undefined;
	#termNumber = 0;
	#isReleased = false;

	constructor(dependencies: LeaseDependencies) {
		super();
		this.#dependencies = dependencies;
	}

	/** Rises each time the lease is acquired while it is not held: the first time, and after it expired. */
	get termNumber(): number {
		return this.#termNumber;
	}

	isHolder(): boolean {
		if (!this.#renewalSentAt) {
			return false;
		}

		return measureElapsedMs(this.#dependencies.timers, this.#renewalSentAt) < this.#dependencies.ttlMs - this.#dependencies.marginMs;
	}

	/** Tries once to acquire or renew the lease and returns whether it is held. */
	async tryAcquire(): Promise<boolean> {
		const sentAt = readClocks(this.#dependencies.timers);
		try {
			await this.#dependencies.store.acquire(this.#dependencies.name, this.#dependencies.holder, this.#dependencies.ttlMs);
		} catch (error) {
			this.#onFailure(error);
			return this.isHolder();
		}

		if (this.#isReleased) {
			return false;
		}

		if (!this.isHolder()) {
			this.#termNumber++;
		}

		this.#renewalSentAt = sentAt;
		return this.isHolder();
	}

	/** Releases the lease for good: at once for this process, then in the store. If the store does not answer, the lease expires there by itself. */
	async release(): Promise<void> {
		this.#isReleased = true;
		this.#renewalSentAt = undefined;
		try {
			await this.#dependencies.store.release(this.#dependencies.name, this.#dependencies.holder);
		} catch (error) {
			if (!(error instanceof StoreUnavailableError || error instanceof StoreUncertainError)) {
				throw error;
			}
		}
	}

	#onFailure(error: unknown): void {
		if (error instanceof LeaseHeldError) {
			this.#renewalSentAt = undefined;
			return;
		}

		// A renewal with an unknown outcome does not extend the lease for this process: the age is still counted from the one before.
		if (!(error instanceof StoreUnavailableError || error instanceof StoreUncertainError)) {
			throw error;
		}
	}
}
