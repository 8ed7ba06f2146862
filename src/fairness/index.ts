/** Rate limits of each caller, and equal shares of the capacity among callers under overload. */
export {CallerGate} from './gate.js';
export type {CallerGateDependencies} from './gate.js';
export {CallerLimiter} from './limiter.js';
export type {LimitDecision} from './limiter.js';
export {FairShares} from './shares.js';
export {computeLocalShare} from './localshare.js';
