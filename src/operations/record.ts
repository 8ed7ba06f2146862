import {randomUUID} from 'node:crypto';
import {StoreConflictError, StoreUnavailableError, StoreUncertainError} from '../errors/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store} from '../store/index.js';
import {addOperation, emptyOperations, updateOperations} from './list.js';
import type {
	Operation, OperationProgress, OperationRecord, OperationRequest,
} from './types.js';

const maxTries = 8;

/** The operations of a failure domain with the revision that they were read at. */
export type VersionedOperations = {readonly revision: number; readonly operations: readonly Operation[]};

/**
Asks for an operation in a failure domain and returns it as it stands. Asking again with the same id asks once;
a lost answer is settled by reading back. Throws `OperationRefusedError` (with its reason), `StoreUnavailableError`
(not asked) or `StoreUncertainError` (ask again with the same id).

@example
```
await askOperation(store, 'kigali-1', {id: '7', kind: 'drain', subject: 'engine-1', askedAt: timers.getWall()});
```
*/
export async function askOperation(store: Store, domain: string, request: OperationRequest): Promise<Operation> {
	const {operations} = await writeOperations(store, domain, record => addOperation(record, request));
	const asked = operations.find(operation => operation.id === request.id);
	if (!asked) {
		throw new StoreUnavailableError(`operation ${request.id} is not in the record`);
	}

	return asked;
}

/** Lists the operations of a failure domain, oldest first. Throws `StoreUnavailableError`. */
export async function listOperations(store: Store, domain: string): Promise<readonly Operation[]> {
	const {record} = await readRecord(store, domain);
	return record.operations;
}

/** Waits up to `waitMs` for operations written after `revision`; `undefined` when none came. */
export async function watchOperations(store: Store, domain: string, revision: number, waitMs: number): Promise<VersionedOperations | undefined> {
	const found = await store.watch(storeKey.operations(domain), revision, waitMs);
	return found && {revision: found.revision, operations: decodeRecord(found.value).operations};
}

/** Writes the progress of operations, by id. */
export async function reportOperations(store: Store, domain: string, progress: ReadonlyMap<string, OperationProgress>): Promise<void> {
	await writeOperations(store, domain, record => updateOperations(record, progress));
}

async function writeOperations(store: Store, domain: string, change: (record: OperationRecord) => OperationRecord): Promise<OperationRecord> {
	const write = randomUUID();
	let failure: unknown;
	for (let count = 0; count < maxTries; count++) {
		const {record, revision} = await readRecord(store, domain);
		if (record.write === write) {
			return record;
		}

		const changed = change(record);
		if (changed === record) {
			return record;
		}

		try {
			const written = {...changed, write};
			await store.write(storeKey.operations(domain), JSON.stringify(written), revision);
			return written;
		} catch (error) {
			if (!(error instanceof StoreConflictError || error instanceof StoreUncertainError)) {
				throw error;
			}

			failure = error;
		}
	}

	throw new StoreUncertainError(`the operations of ${domain} could not be written in ${maxTries} tries`, {cause: failure});
}

async function readRecord(store: Store, domain: string): Promise<{readonly record: OperationRecord; readonly revision: number}> {
	const found = await store.read(storeKey.operations(domain));
	return found ? {record: decodeRecord(found.value), revision: found.revision} : {record: emptyOperations, revision: absentRevision};
}

function decodeRecord(text: string): OperationRecord {
	return JSON.parse(text) as OperationRecord;
}
