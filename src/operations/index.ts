/** Drains, replacements and withdrawals that operators ask for. */
export {operationKind, operationState} from './types.js';
export type {Operation, OperationKind, OperationState} from './types.js';
