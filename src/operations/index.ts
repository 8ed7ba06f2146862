/** Operations that operators request, such as drains, replacements and withdrawals, kept in the store. */
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
