/** Limits that engines set on the requests of all entries together, and permits within them. */
export {RequestLimits} from './limits.js';
export {RequestPermits} from './permits.js';
export type {LimitedEngine, RequestLimit, RequestLimitChange} from './types.js';
