import {
	AuthorityLostError, StoreConflictError, StoreUncertainError,
} from '../errors/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store, VersionedValue} from '../store/index.js';
import {emptyRecord} from './record.js';
import type {DomainRecord} from './record.js';

/** Maximum number of compare-and-swap attempts for a batch of changes. */
const maxAttempts = 8;
const maxQueuedChanges = 1024;

/** Returns the changed record; throws when the record does not allow the change. */
export type RecordChange = (record: DomainRecord) => DomainRecord;

/** Called after each write that took effect, with the revision that it got. */
export type RecordListener = (record: DomainRecord, revision: number) => void;

type QueuedChange = {
	/** Absent for a request to read the record again. */
	readonly change?: RecordChange;
	readonly onDone: (revision: number) => void;
	readonly onFailed: (error: unknown) => void;
};

/** What a {@link DomainRecordStore} needs. */
export type DomainRecordStoreDependencies = {
	readonly store: Store;
	readonly domain: string;
	/** Identifies this process as the holder of the record; unique for each start of the process. */
	readonly holder: string;
	/** Creates an id that is never used again. */
	readonly createId: () => string;
	readonly onWritten: RecordListener;
};

/**
Reads and writes a failure domain's record for one term of authority. Changes that are queued at the same time are written
together in one compare-and-swap. Once another holder has raised the fence, every later change throws `AuthorityLostError`.
*/
export class DomainRecordStore {
	#record: DomainRecord = emptyRecord;
	#revision = absentRevision;
	#isLost = true;
	#isWriting = false;
	#queuedChanges: QueuedChange[] = [];
	readonly #dependencies: DomainRecordStoreDependencies;

	constructor(dependencies: DomainRecordStoreDependencies) {
		this.#dependencies = dependencies;
	}

	/** The record as this holder last wrote or read it. */
	get record(): DomainRecord {
		return this.#record;
	}

	/** Whether this term must not write the record: it has not acquired it yet, another holder has, or the term is over. */
	get isLost(): boolean {
		return this.#isLost;
	}

	/** Reads the record, as the first step of a takeover. */
	async load(): Promise<DomainRecord> {
		this.#setRecord(await this.#dependencies.store.read(storeKey.orders(this.#dependencies.domain)));
		return this.#record;
	}

	/** Raises the fence and becomes the holder, if the record has not changed since it was loaded; throws `StoreConflictError` if it has. */
	async acquire(): Promise<void> {
		const {holder} = this.#dependencies;
		await this.#write({...this.#record, holder, fence: this.#record.fence + 1});
		this.#isLost = false;
	}

	/**
	Makes one change and returns the revision that it got. Throws what `change` throws, `AuthorityLostError`, an error of the
	store, or `StoreConflictError` when too many changes are queued or every attempt met a conflict.
	*/
	async update(change: RecordChange): Promise<number> {
		return this.#enqueue(change);
	}

	/** Reads the record again: an earlier holder may have removed its ended sends from it. */
	async refresh(): Promise<void> {
		await this.#enqueue();
	}

	/** Makes every later change of this term throw `AuthorityLostError`. */
	close(): void {
		this.#isLost = true;
	}

	async #enqueue(change?: RecordChange): Promise<number> {
		if (this.#queuedChanges.length >= maxQueuedChanges) {
			throw new StoreConflictError(`${maxQueuedChanges} changes of the domain record are queued already; this change is refused`);
		}

		return new Promise<number>((resolve, reject) => {
			this.#queuedChanges.push({change, onDone: resolve, onFailed: reject});
			void this.#writeQueued();
		});
	}

	async #writeQueued(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		while (this.#queuedChanges.length > 0) {
			const batch = this.#queuedChanges;
			this.#queuedChanges = [];
			await this.#writeBatch(batch);
		}

		this.#isWriting = false;
	}

	async #writeBatch(batch: readonly QueuedChange[]): Promise<void> {
		let remaining = batch;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			try {
				if (remaining.some(({change}) => change === undefined)) {
					await this.#read();
				}

				this.#checkHeld();
				const applied = applyBatch(this.#record, remaining);
				remaining = applied.accepted;
				if (remaining.length > 0 && applied.record !== this.#record) {
					await this.#write(applied.record);
				}

				for (const {onDone} of remaining) {
					onDone(this.#revision);
				}

				return;
			} catch (error) {
				if (!(error instanceof StoreConflictError) || attempt === maxAttempts - 1) {
					for (const {onFailed} of remaining) {
						onFailed(error);
					}

					return;
				}
			}
		}
	}

	/** Writes the record. When the store has another revision of it, adopts that one and throws `StoreConflictError`. */
	async #write(changed: DomainRecord): Promise<void> {
		const key = storeKey.orders(this.#dependencies.domain);
		const written = {...changed, write: this.#dependencies.createId()};
		try {
			this.#revision = await this.#dependencies.store.write(key, JSON.stringify(written), this.#revision);
			this.#record = written;
		} catch (error) {
			if (!(error instanceof StoreConflictError || error instanceof StoreUncertainError)) {
				throw error;
			}

			const found = await this.#dependencies.store.read(key);
			if (found === undefined || decodeRecord(found).write !== written.write) {
				this.#onForeignWrite(found);
				throw new StoreConflictError(`the domain record in the store is not the one that was written here; it is at revision ${found?.revision ?? absentRevision}`, {cause: error});
			}

			this.#setRecord(found);
		}

		this.#dependencies.onWritten(this.#record, this.#revision);
	}

	async #read(): Promise<void> {
		const found = await this.#dependencies.store.read(storeKey.orders(this.#dependencies.domain));
		if (!this.#isLost && found?.revision !== this.#revision) {
			this.#onForeignWrite(found);
		}
	}

	#onForeignWrite(found: VersionedValue | undefined): void {
		const {fence} = this.#record;
		this.#setRecord(found);
		if (this.#record.holder !== this.#dependencies.holder || this.#record.fence !== fence) {
			this.#isLost = true;
		}
	}

	#setRecord(found: VersionedValue | undefined): void {
		this.#record = found ? decodeRecord(found) : emptyRecord;
		this.#revision = found?.revision ?? absentRevision;
	}

	#checkHeld(): void {
		if (this.#isLost) {
			throw new AuthorityLostError(`this term no longer holds the record of failure domain ${this.#dependencies.domain}, which names holder ${this.#record.holder}`);
		}
	}
}

function applyBatch(record: DomainRecord, batch: readonly QueuedChange[]): {readonly record: DomainRecord; readonly accepted: readonly QueuedChange[]} {
	const accepted: QueuedChange[] = [];
	let changed = record;
	for (const queued of batch) {
		try {
			changed = queued.change?.(changed) ?? changed;
			accepted.push(queued);
		} catch (error) {
			queued.onFailed(error);
		}
	}

	return {record: changed, accepted};
}

function decodeRecord({value}: VersionedValue): DomainRecord {
	return JSON.parse(value) as DomainRecord;
}
