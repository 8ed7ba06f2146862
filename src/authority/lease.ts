import {LeaseHeldError, StoreUnavailableError, StoreUncertainError} from '../errors/index.js';
import type {Store} from '../store/index.js';
import type {TimerService} from '../timers/index.js';

/** Tells other parts whether this process holds its failure domain's authority. */
export abstract class AuthorityStatus {
	/** Says whether the authority is held as far as this process can tell; the fence proves it, no clock does. */
	abstract isHolder(): boolean;
}

/** What a {@link Lease} needs. */
export type LeaseDependencies = {
	readonly store: Store;
	readonly timers: TimerService;
	readonly name: string;
	/** Unique for each start of the process. */
	readonly holder: string;
	/** How long the store keeps a grant, in milliseconds. */
	readonly ttlMs: number;
	/** How long before that the holder stops acting, in milliseconds. */
	readonly marginMs: number;
};

type ClockReading = {readonly now: number; readonly wall: number};

/**
A lease in the store. It counts from when the renewal was sent, by the monotonic clock (which stands still while
the VM is suspended) and the wall clock (which may jump), whichever says that more time has passed.
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

	/** Rises each time the lease is taken anew after it had lapsed. */
	get termNumber(): number {
		return this.#termNumber;
	}

	isHolder(): boolean {
		if (!this.#renewalSentAt) {
			return false;
		}

		const {now, wall} = this.#readClocks();
		const elapsedMs = Math.max(now - this.#renewalSentAt.now, wall - this.#renewalSentAt.wall);
		return elapsedMs < this.#dependencies.ttlMs - this.#dependencies.marginMs;
	}

	/** Takes or renews the lease once, and says whether it is held. */
	async tryAcquire(): Promise<boolean> {
		const sentAt = this.#readClocks();
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

	/** Gives the lease up for good: at once for this process, then in the store, where it otherwise lapses by itself. */
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

		// A renewal that may have taken effect prolongs nothing here: the earlier one still counts.
		if (!(error instanceof StoreUnavailableError || error instanceof StoreUncertainError)) {
			throw error;
		}
	}

	#readClocks(): ClockReading {
		return {now: this.#dependencies.timers.getNow(), wall: this.#dependencies.timers.getWallTime()};
	}
}
