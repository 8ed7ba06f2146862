/** Claims on idempotency keys: a call that has a key and may not be repeated runs at most once, across all entries and restarts. */
export {Claims} from './claims.js';
export type {Claim, ClaimCall, DecidedClaim} from './claims.js';
export {claimResult, claimState} from './types.js';
export type {
	ClaimAnswer, ClaimDecision, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState,
} from './types.js';
export {
	decideClaim, decodeBucket, encodeBucket, maxBucketRecords, settleClaim,
} from './bucket.js';
