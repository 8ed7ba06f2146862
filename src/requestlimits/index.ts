/** Limits that engines set on the requests of all entries together, and permits within them. */
export {RequestLimits} from './limits.js';
export {RequestPermits} from './permits.js';
export {formatLimitKey} from './types.js';
export type {LimitedAddress, RequestLimit, RequestLimitChange} from './types.js';
