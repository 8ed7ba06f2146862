/** Drains, replacements and withdrawals that operators ask for. */
export {operationKind, operationState} from './types.js';
export type {
	Operation, OperationKind, OperationProgress, OperationRecord, OperationRequest, OperationState,
} from './types.js';
export {isOpenOperation, maxOperations, operationRefusal} from './list.js';
export type {OperationRefusal} from './list.js';
export {
	requestOperation, listOperations, reportOperations, watchOperations,
} from './record.js';
export type {VersionedOperations} from './record.js';
