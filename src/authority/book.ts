import {
	AuthorityLostError, StoreConflictError, StoreUncertainError,
} from '../errors/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store, VersionedValue} from '../store/index.js';
import {emptyRecord} from './record.js';
import type {DomainRecord} from './record.js';

const maxTries = 8;
const maxWaiting = 1024;

/** A change of the record; it throws when the record does not allow it. */
export type RecordChange = (record: DomainRecord) => DomainRecord;

/** Called after each write that took effect, with the revision it got. */
export type RecordListener = (record: DomainRecord, revision: number) => void;

type Waiting = {
	/** Absent to read the record anew. */
	readonly change?: RecordChange;
	readonly onDone: (revision: number) => void;
	readonly onFailed: (error: unknown) => void;
};

/** What an {@link OrderBook} needs. */
export type BookOptions = {
	readonly store: Store;
	readonly domain: string;
	/** Unique for each start of the process. */
	readonly holder: string;
	/** Makes ids that are unique for ever. */
	readonly createId: () => string;
	readonly onWritten: RecordListener;
};

/**
One term's hold on the domain's order record. Changes that wait at the same time go into one compare-and-swap.
Once another holder has raised the fence every later change throws `AuthorityLostError`.
*/
export class OrderBook {
	#record: DomainRecord = emptyRecord;
	#revision = absentRevision;
	#isLost = true;
	#isWriting = false;
	#waiting: Waiting[] = [];
	readonly #options: BookOptions;

	constructor(options: BookOptions) {
		this.#options = options;
	}

	/** The record as last written or read by this holder. */
	get record(): DomainRecord {
		return this.#record;
	}

	/** Whether the record is known to be another holder's, or not yet this one's. */
	get isLost(): boolean {
		return this.#isLost;
	}

	/** Reads the record before a takeover. */
	async load(): Promise<DomainRecord> {
		this.#take(await this.#options.store.read(storeKey.orders(this.#options.domain)));
		return this.#record;
	}

	/** Raises the fence and becomes the holder by compare-and-swap on what was loaded. Throws `StoreConflictError`. */
	async acquire(): Promise<void> {
		const {holder} = this.#options;
		await this.#write({...this.#record, holder, fence: this.#record.fence + 1});
		this.#isLost = false;
	}

	/** Makes one change and returns the revision that it got. */
	async update(change: RecordChange): Promise<number> {
		return this.#add(change);
	}

	/** Reads the record anew, as an earlier holder may have released its sends there. */
	async readAgain(): Promise<void> {
		await this.#add();
	}

	/** Refuses every later change of this term. */
	close(): void {
		this.#isLost = true;
	}

	async #add(change?: RecordChange): Promise<number> {
		if (this.#waiting.length >= maxWaiting) {
			throw new StoreConflictError(`${maxWaiting} changes of the order record wait`);
		}

		return new Promise<number>((resolve, reject) => {
			this.#waiting.push({change, onDone: resolve, onFailed: reject});
			void this.#writeWaiting();
		});
	}

	async #writeWaiting(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		while (this.#waiting.length > 0) {
			const batch = this.#waiting;
			this.#waiting = [];
			await this.#writeBatch(batch);
		}

		this.#isWriting = false;
	}

	async #writeBatch(batch: readonly Waiting[]): Promise<void> {
		let left = batch;
		for (let count = 0; count < maxTries; count++) {
			try {
				if (left.some(({change}) => change === undefined)) {
					await this.#read();
				}

				this.#checkHeld();
				const applied = applyBatch(this.#record, left);
				left = applied.left;
				if (left.length > 0 && applied.record !== this.#record) {
					await this.#write(applied.record);
				}

				for (const {onDone} of left) {
					onDone(this.#revision);
				}

				return;
			} catch (error) {
				if (!(error instanceof StoreConflictError) || count === maxTries - 1) {
					for (const {onFailed} of left) {
						onFailed(error);
					}

					return;
				}
			}
		}
	}

	/** Writes a record; when it meets another revision, takes in what stands there and throws the conflict. */
	async #write(changed: DomainRecord): Promise<void> {
		const key = storeKey.orders(this.#options.domain);
		const written = {...changed, write: this.#options.createId()};
		try {
			this.#revision = await this.#options.store.write(key, JSON.stringify(written), this.#revision);
			this.#record = written;
		} catch (error) {
			if (!(error instanceof StoreConflictError || error instanceof StoreUncertainError)) {
				throw error;
			}

			const found = await this.#options.store.read(key);
			if (found === undefined || decodeRecord(found).write !== written.write) {
				this.#onForeign(found);
				throw new StoreConflictError(`the order record is at ${found?.revision ?? absentRevision}`, {cause: error});
			}

			this.#take(found);
		}

		this.#options.onWritten(this.#record, this.#revision);
	}

	async #read(): Promise<void> {
		const found = await this.#options.store.read(storeKey.orders(this.#options.domain));
		if (!this.#isLost && found?.revision !== this.#revision) {
			this.#onForeign(found);
		}
	}

	#onForeign(found: VersionedValue | undefined): void {
		const {fence} = this.#record;
		this.#take(found);
		if (this.#record.holder !== this.#options.holder || this.#record.fence !== fence) {
			this.#isLost = true;
		}
	}

	#take(found: VersionedValue | undefined): void {
		this.#record = found ? decodeRecord(found) : emptyRecord;
		this.#revision = found?.revision ?? absentRevision;
	}

	#checkHeld(): void {
		if (this.#isLost) {
			throw new AuthorityLostError(`the order record of ${this.#options.domain} has holder ${this.#record.holder}`);
		}
	}
}

function applyBatch(record: DomainRecord, batch: readonly Waiting[]): {readonly record: DomainRecord; readonly left: readonly Waiting[]} {
	const left: Waiting[] = [];
	let changed = record;
	for (const waiting of batch) {
		try {
			changed = waiting.change?.(changed) ?? changed;
			left.push(waiting);
		} catch (error) {
			waiting.onFailed(error);
		}
	}

	return {record: changed, left};
}

function decodeRecord({value}: VersionedValue): DomainRecord {
	return JSON.parse(value) as DomainRecord;
}
