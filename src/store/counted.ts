import {
	LeaseHeldError, StoreConflictError, StoreUnavailableError, StoreUncertainError,
} from '../errors/index.js';
import {Store} from './port.js';
import type {LeaseGrant, VersionedValue} from './port.js';

/** Outcomes of a call to the store; the values are labels of the metric that counts the calls. */
export const storeOutcome = {
	done: 'done',
	conflict: 'conflict',
	leaseHeld: 'lease_held',
	unavailable: 'unavailable',
	uncertain: 'uncertain',
	failed: 'failed',
} as const;

/** See {@link storeOutcome}. */
export type StoreOutcome = (typeof storeOutcome)[keyof typeof storeOutcome];

/** Delegates every call to another store and reports its outcome to `onEnd`. */
export class CountedStore extends Store {
	readonly #store: Store;
	readonly #onEnd: (outcome: StoreOutcome) => void;

	constructor(store: Store, onEnd: (outcome: StoreOutcome) => void) {
		super();
		this.#store = store;
		this.#onEnd = onEnd;
	}

	async read(key: string): Promise<VersionedValue | undefined> {
		return this.#count(this.#store.read(key));
	}

	async write(key: string, value: string, expectedRevision: number): Promise<number> {
		return this.#count(this.#store.write(key, value, expectedRevision));
	}

	async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined> {
		return this.#count(this.#store.watch(key, afterRevision, waitMs, signal));
	}

	async acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant> {
		return this.#count(this.#store.acquire(name, holder, ttlMs));
	}

	async release(name: string, holder: string): Promise<void> {
		return this.#count(this.#store.release(name, holder));
	}

	async #count<Result>(call: Promise<Result>): Promise<Result> {
		try {
			const result = await call;
			this.#onEnd(storeOutcome.done);
			return result;
		} catch (error) {
			this.#onEnd(getOutcome(error));
			throw error;
		}
	}
}

function getOutcome(error: unknown): StoreOutcome {
	if (error instanceof StoreConflictError) {
		return storeOutcome.conflict;
	}

	if (error instanceof LeaseHeldError) {
		return storeOutcome.leaseHeld;
	}

	if (error instanceof StoreUnavailableError) {
		return storeOutcome.unavailable;
	}

	return error instanceof StoreUncertainError ? storeOutcome.uncertain : storeOutcome.failed;
}
