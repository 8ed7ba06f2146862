import {
	retryReason, StoreConflictError, StoreUncertainError, StoreUnavailableError,
} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {absentRevision} from '../store/index.js';
import type {Store} from '../store/index.js';
import type {TimerService} from '../timers/index.js';
import {decodeBucket, encodeBucket} from './bucket.js';
import type {Bucket} from './bucket.js';

const maxTries = 12;
const firstPauseMs = 2;
const maxPauseMs = 100;

/** One change of a bucket that waits to be written. */
export type BucketChange = {
	/** Applies itself and says whether the bucket changed, and whether an older reading of the bucket is enough. */
	readonly apply: (bucket: Bucket) => {readonly isChanged: boolean; readonly isFinal: boolean};
	/** Called once it is written, or decided on a fresh reading. */
	readonly onDone: () => void;
	readonly onError: (error: unknown) => void;
	/** Asked before each try: nobody waits for it any more. */
	readonly isDropped: () => boolean;
};

/** What a writer works with. */
export type WriterParts = {
	readonly store: Store;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** Draws a number from 0 up to 1. */
	readonly pick: () => number;
};

type Known = {readonly bucket: Bucket; readonly revision: number; readonly isFresh: boolean};

/** Writes the changes of one bucket: all that wait while a write is in flight go into the next one. */
export class BucketWriter {
	writes = 0;
	conflicts = 0;
	#waiting: BucketChange[] = [];
	#known: Known | undefined;
	readonly #key: string;
	readonly #parts: WriterParts;

	constructor(key: string, parts: WriterParts) {
		this.#key = key;
		this.#parts = parts;
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
		for (let attempt = 0; attempt < maxTries; attempt++) {
			const changes = batch.filter(change => !change.isDropped());
			if (changes.length === 0) {
				return;
			}

			try {
				if (await this.#tryWrite(changes)) {
					finishAll(changes);
					return;
				}
			} catch (error) {
				this.#known = undefined;
				if (!isWorthRetry(error)) {
					abortAll(changes, error);
					return;
				}

				this.conflicts++;
				this.#parts.metrics.countRetry(retryReason.storeConflict);
				await this.#parts.timers.sleep(this.#parts.pick() * Math.min(maxPauseMs, firstPauseMs * (2 ** attempt)));
			}
		}

		abortAll(batch, new StoreUnavailableError(`${this.#key} was written by others ${maxTries} times`));
	}

	/** Returns false when the changes have to be decided on a fresh reading. */
	async #tryWrite(changes: readonly BucketChange[]): Promise<boolean> {
		const known = this.#known ?? await this.#read();
		const bucket = new Map(known.bucket);
		let isChanged = false;
		let isFinal = true;
		// The reading may have taken long: what nobody waits for any more must not be written now.
		for (const change of changes.filter(candidate => !candidate.isDropped())) {
			const result = change.apply(bucket);
			isChanged ||= result.isChanged;
			isFinal &&= result.isFinal;
		}

		if (!isChanged) {
			this.#known = isFinal || known.isFresh ? {...known, isFresh: false} : undefined;
			return isFinal || known.isFresh;
		}

		const revision = await this.#parts.store.write(this.#key, encodeBucket(bucket), known.revision);
		this.writes++;
		this.#known = {bucket, revision, isFresh: false};
		return true;
	}

	async #read(): Promise<Known> {
		const found = await this.#parts.store.read(this.#key);
		return {bucket: decodeBucket(found?.value), revision: found?.revision ?? absentRevision, isFresh: true};
	}
}

/** After a lost answer the next reading shows whether the write took effect. */
function isWorthRetry(error: unknown): boolean {
	return error instanceof StoreConflictError || error instanceof StoreUncertainError;
}

function finishAll(changes: readonly BucketChange[]): void {
	for (const change of changes) {
		change.onDone();
	}
}

function abortAll(changes: readonly BucketChange[], error: unknown): void {
	for (const change of changes) {
		change.onError(error);
	}
}
