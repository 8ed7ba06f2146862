import {
	retryReason, StoreConflictError, StoreUncertainError, StoreUnavailableError,
} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {absentRevision} from '../store/index.js';
import type {Store} from '../store/index.js';
import type {TimerService} from '../timers/index.js';
import {decodeBucket, encodeBucket} from './bucket.js';
import type {Bucket} from './bucket.js';

const maxAttempts = 12;
const firstBackoffMs = 2;
const maxBackoffMs = 100;

/** A change of a bucket that waits to be written. */
export type BucketChange = {
	/**
	Makes the change in `bucket`. `isChanged` is whether the bucket has to be written. If not, `isFinal` is whether that is certain
	even if `bucket` is a cached copy; otherwise the change is applied again to a copy that was just read.
	*/
	readonly apply: (bucket: Bucket) => {readonly isChanged: boolean; readonly isFinal: boolean};
	/** Called when the change is written, or when it needs no write. */
	readonly onDone: () => void;
	/** Called when the bucket could not be read or written. */
	readonly onError: (error: unknown) => void;
	/** Asked before each attempt: whether nothing waits for the change any more. It must not be written then. */
	readonly isAbandoned: () => boolean;
};

/** What a {@link BucketWriter} works with. */
export type WriterDependencies = {
	readonly store: Store;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** Returns a uniform random number in [0, 1). */
	readonly getRandom: () => number;
};

/** A bucket as last read or written; `isFresh` if it was read in the current attempt. */
type CachedBucket = {readonly bucket: Bucket; readonly revision: number; readonly isFresh: boolean};

/**
Writes the changes of one bucket by compare-and-swap. Changes that arrive during a write are written together in the next one.
After a conflict or a lost answer the bucket is read again and the changes are applied to it again, with backoff.
*/
export class BucketWriter {
	writes = 0;
	conflicts = 0;
	#waiting: BucketChange[] = [];
	#cached: CachedBucket | undefined;
	readonly #key: string;
	readonly #dependencies: WriterDependencies;

	constructor(key: string, dependencies: WriterDependencies) {
		this.#key = key;
		this.#dependencies = dependencies;
	}

	/** Counts the changes that wait for the next write. */
	countWaiting(): number {
		return this.#waiting.length;
	}

	/** Adds a change to the next write. */
	add(change: BucketChange): void {
		this.#waiting.push(change);
	}

	/** Writes until no change waits. Only one call may run at a time. */
	async run(): Promise<void> {
		while (this.#waiting.length > 0) {
			const batch = this.#waiting;
			this.#waiting = [];
			await this.#writeBatch(batch);
		}
	}

	async #writeBatch(batch: readonly BucketChange[]): Promise<void> {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const changes = batch.filter(change => !change.isAbandoned());
			if (changes.length === 0) {
				return;
			}

			try {
				if (await this.#tryWrite(changes)) {
					finishAll(changes);
					return;
				}
			} catch (error) {
				this.#cached = undefined;
				if (!isRetryable(error)) {
					failAll(changes, error);
					return;
				}

				this.conflicts++;
				this.#dependencies.metrics.countRetry(retryReason.storeConflict);
				await this.#dependencies.timers.sleep(this.#dependencies.getRandom() * Math.min(maxBackoffMs, firstBackoffMs * (2 ** attempt)));
			}
		}

		failAll(batch, new StoreUnavailableError(`${this.#key} was written by others ${maxAttempts} times`));
	}

	/** Returns false if the changes must be applied again to a copy of the bucket that was just read. Throws the errors of the store. */
	async #tryWrite(changes: readonly BucketChange[]): Promise<boolean> {
		const cached = this.#cached ?? await this.#read();
		const bucket = new Map(cached.bucket);
		let isChanged = false;
		let isFinal = true;
		// The read may have taken long: a change that was abandoned meanwhile must not be written.
		for (const change of changes.filter(candidate => !candidate.isAbandoned())) {
			const result = change.apply(bucket);
			isChanged ||= result.isChanged;
			isFinal &&= result.isFinal;
		}

		if (!isChanged) {
			this.#cached = isFinal || cached.isFresh ? {...cached, isFresh: false} : undefined;
			return isFinal || cached.isFresh;
		}

		const revision = await this.#dependencies.store.write(this.#key, encodeBucket(bucket), cached.revision);
		this.writes++;
		this.#cached = {bucket, revision, isFresh: false};
		return true;
	}

	async #read(): Promise<CachedBucket> {
		const stored = await this.#dependencies.store.read(this.#key);
		return {bucket: decodeBucket(stored?.value), revision: stored?.revision ?? absentRevision, isFresh: true};
	}
}

/** Returns whether to read the bucket again and retry; after a lost answer, that read shows whether the write took effect. */
function isRetryable(error: unknown): boolean {
	return error instanceof StoreConflictError || error instanceof StoreUncertainError;
}

function finishAll(changes: readonly BucketChange[]): void {
	for (const change of changes) {
		change.onDone();
	}
}

function failAll(changes: readonly BucketChange[], error: unknown): void {
	for (const change of changes) {
		change.onError(error);
	}
}
