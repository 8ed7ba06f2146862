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

/** One change of a bucket that waits to be written. */
export type BucketChange = {
	/** Applies itself and says whether the bucket changed, and whether an older reading of the bucket is enough. */
	readonly apply: (bucket: Bucket) => {readonly isChanged: boolean; readonly isFinal: boolean};
	/** Called once it is written, or decided on a fresh reading. */
	readonly onDone: () => void;
	readonly onError: (error: unknown) => void;
	/** Asked before each try: nobody waits for it any more. */
	readonly isAbandoned: () => boolean;
};

/** What a writer works with. */
export type WriterDependencies = {
	readonly store: Store;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** Draws a number from 0 up to 1. */
	readonly getRandom: () => number;
};

type CachedBucket = {readonly bucket: Bucket; readonly revision: number; readonly isFresh: boolean};

/** Writes the changes of one bucket: all that wait while a write is in flight go into the next one. */
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

	/** Counts the changes that wait. */
	countWaiting(): number {
		return this.#waiting.length;
	}

	/** Adds a change to the next write. */
	add(change: BucketChange): void {
		this.#waiting.push(change);
	}

	/** Writes until nothing waits. */
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

	/** Returns false when the changes have to be decided on a fresh reading. */
	async #tryWrite(changes: readonly BucketChange[]): Promise<boolean> {
		const cached = this.#cached ?? await this.#read();
		const bucket = new Map(cached.bucket);
		let isChanged = false;
		let isFinal = true;
		// The reading may have taken long: what nobody waits for any more must not be written now.
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

/** After a lost answer the next reading shows whether the write took effect. */
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
