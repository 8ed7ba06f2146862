import {OperationRefusedError} from '../errors/index.js';
import {operationKind, operationState} from './types.js';
import type {
	Operation, OperationProgress, OperationRecord, OperationRequest,
} from './types.js';

/** Reasons for which a requested operation is refused. */
export const operationRefusal = {
	/** Another operation on the same upstream or VM has not ended. */
	conflict: 'conflict',
	/** Too many operations have not ended. */
	full: 'full',
	/** The id was used for a different operation. */
	idReused: 'id_reused',
	/** It was requested no later than an operation that has been removed from the record, so it may have been carried out and removed too. */
	tooOld: 'too_old',
} as const;

/** See {@link operationRefusal}. */
export type OperationRefusal = (typeof operationRefusal)[keyof typeof operationRefusal];

/** Maximum number of operations kept for a failure domain. */
export const maxOperations = 256;

/** The record of a failure domain before any operation is requested. */
export const emptyRecord: OperationRecord = {forgottenAt: 0, write: '', operations: []};

/** Returns whether an operation has not ended. */
export function isOpenOperation(operation: Operation): boolean {
	return operation.state !== operationState.done && operation.state !== operationState.refused;
}

/**
Adds a requested operation to the record, or returns the record unchanged when it has that operation already.
A `resume` ends an open `drain` of the same upstream. A full record drops its oldest ended operation.
Throws `OperationRefusedError`.
*/
export function addOperation(record: OperationRecord, request: OperationRequest): OperationRecord {
	const known = record.operations.find(operation => operation.id === request.id);
	if (known) {
		checkSameOperation(known, request);
		return record;
	}

	if (request.askedAt <= record.forgottenAt) {
		throw new OperationRefusedError(`operation ${request.id} was asked for before operations that are dropped; look at the state and ask anew`, {props: {reason: operationRefusal.tooOld}});
	}

	const operations = record.operations.map(operation => isSuperseded(operation, request)
		? {...operation, state: operationState.refused, detail: `given up for operation ${request.id}, resume`}
		: operation);
	checkConflict(operations, request);
	return pruneOldestEnded({...record, operations: [...operations, {...request, state: operationState.asked, detail: ''}]});
}

/** Updates operations by id; ended operations stay as they are, and unknown ids are ignored. */
export function updateOperations(record: OperationRecord, progress: ReadonlyMap<string, OperationProgress>): OperationRecord {
	const operations = record.operations.map(operation => {
		const update = progress.get(operation.id);
		return update && isOpenOperation(operation) ? {...operation, ...update} : operation;
	});
	return {...record, operations};
}

function checkSameOperation(known: Operation, request: OperationRequest): void {
	if (known.kind !== request.kind || known.subject !== request.subject || known.replacement !== request.replacement) {
		throw new OperationRefusedError(`operation ${request.id} is known as ${known.kind} ${known.subject}`, {props: {reason: operationRefusal.idReused}});
	}
}

function checkConflict(operations: readonly Operation[], request: OperationRequest): void {
	const requestedIds = listAffectedIds(request);
	const conflicting = operations.find(operation => isOpenOperation(operation) && listAffectedIds(operation).some(id => requestedIds.includes(id)));
	if (conflicting) {
		throw new OperationRefusedError(
			`operation ${conflicting.id} (${conflicting.kind} ${conflicting.subject}) has not ended: ${conflicting.state} ${conflicting.detail}`.trimEnd(),
			{props: {reason: operationRefusal.conflict}},
		);
	}
}

function listAffectedIds({kind, subject, replacement}: OperationRequest): readonly string[] {
	if (kind === operationKind.confirmStopped) {
		return [`vm ${subject}`];
	}

	return replacement === undefined ? [subject] : [subject, replacement];
}

function isSuperseded(operation: Operation, request: OperationRequest): boolean {
	return isOpenOperation(operation) && operation.kind === operationKind.drain
		&& request.kind === operationKind.resume && operation.subject === request.subject;
}

function pruneOldestEnded(record: OperationRecord): OperationRecord {
	if (record.operations.length <= maxOperations) {
		return record;
	}

	const oldest = record.operations.find(operation => !isOpenOperation(operation));
	if (!oldest) {
		throw new OperationRefusedError(`${maxOperations} operations have not ended`, {props: {reason: operationRefusal.full}});
	}

	return {
		...record,
		forgottenAt: Math.max(record.forgottenAt, oldest.askedAt),
		operations: record.operations.filter(operation => operation !== oldest),
	};
}
