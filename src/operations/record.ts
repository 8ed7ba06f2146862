import {randomUUID} from 'node:crypto';
import {StoreConflictError, StoreUnavailableError, StoreUncertainError} from '../errors/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store} from '../store/index.js';
import {addOperation, emptyRecord, updateOperations} from './list.js';
import type {
	Operation, OperationProgress, OperationRecord, OperationRequest,
} from './types.js';

const maxAttempts = 8;

/** The operations of a failure domain and the revision of the store at which they were read. */
export type VersionedOperations = {readonly revision: number; readonly operations: readonly Operation[]};

/**
Requests an operation in a failure domain and returns it as stored. A request repeated with the same id has no further
effect. When the store's answer to a write is lost, the record is read again to find out whether the write took effect.
Throws `OperationRefusedError` (with its reason), `StoreUnavailableError` (not requested) or `StoreUncertainError` (repeat
the request with the same id).

@example
```
await requestOperation(store, 'kigali-1', {id: '7', kind: 'drain', subject: 'engine-1', askedAt: timers.getWallTime()});
```
*/
export async function requestOperation(store: Store, domain: string, request: OperationRequest): Promise<Operation> {
	const {operations} = await writeOperations(store, domain, record => addOperation(record, request));
	const stored = operations.find(operation => operation.id === request.id);
	if (!stored) {
		throw new StoreUnavailableError(`operation ${request.id} is not in the record`);
	}

	return stored;
}

/** Lists the operations of a failure domain, oldest first. Throws `StoreUnavailableError`. */
export async function listOperations(store: Store, domain: string): Promise<readonly Operation[]> {
	const {record} = await readRecord(store, domain);
	return record.operations;
}

/** Waits up to `waitMs` for operations written after `revision`; returns `undefined` if none were. */
export async function watchOperations(store: Store, domain: string, revision: number, waitMs: number): Promise<VersionedOperations | undefined> {
	const storedValue = await store.watch(storeKey.operations(domain), revision, waitMs);
	return storedValue && {revision: storedValue.revision, operations: decodeRecord(storedValue.value).operations};
}

/** Stores the progress of operations, by id. */
export async function reportOperations(store: Store, domain: string, progress: ReadonlyMap<string, OperationProgress>): Promise<void> {
	await writeOperations(store, domain, record => updateOperations(record, progress));
}

async function writeOperations(store: Store, domain: string, change: (record: OperationRecord) => OperationRecord): Promise<OperationRecord> {
	const write = randomUUID();
	let lastError: unknown;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const {record, revision} = await readRecord(store, domain);
		if (record.write === write) {
			return record;
		}

		const newRecord = change(record);
		if (newRecord === record) {
			return record;
		}

		try {
			const written = {...newRecord, write};
			await store.write(storeKey.operations(domain), JSON.stringify(written), revision);
			return written;
		} catch (error) {
			if (!(error instanceof StoreConflictError || error instanceof StoreUncertainError)) {
				throw error;
			}

			lastError = error;
		}
	}

	throw new StoreUncertainError(`the operations of ${domain} could not be written in ${maxAttempts} tries`, {cause: lastError});
}

async function readRecord(store: Store, domain: string): Promise<{readonly record: OperationRecord; readonly revision: number}> {
	const storedValue = await store.read(storeKey.operations(domain));
	return storedValue ? {record: decodeRecord(storedValue.value), revision: storedValue.revision} : {record: emptyRecord, revision: absentRevision};
}

function decodeRecord(json: string): OperationRecord {
	return JSON.parse(json) as OperationRecord;
}
