import {claimResult, claimState} from './types.js';
import type {
	ClaimDecision, ClaimOutcome, ClaimRecord, ClaimRequest,
} from './types.js';

/**
Limit on the records of one bucket. Even if each holds an answer of the largest size, the bucket stays below the store's limit
of a megabyte for a value.
*/
export const maxBucketRecords = 800;

/**
Largest difference between the clocks of two VMs. Records are kept for this long after `until`, since the clock that is compared
with it may be ahead.
*/
const maxClockSkewMs = 3_600_000;
/** Bounds of `retryAfterMs` in the answer to a repeat of a call that is in progress. */
const maxRetryAfterMs = 2000;
const minRetryAfterMs = 100;

/** The records of one bucket, by key. */
export type Bucket = Map<string, ClaimRecord>;

/** Decodes a bucket from its value in the store; `undefined` gives an empty bucket. */
export function decodeBucket(value: string | undefined): Bucket {
	const records = value === undefined ? [] : JSON.parse(value) as readonly ClaimRecord[];
	return new Map(records.map(record => [record.key, record]));
}

/** Encodes a bucket as its value in the store. */
export function encodeBucket(bucket: Bucket): string {
	return JSON.stringify([...bucket.values()]);
}

/**
Decides a request to claim a key, and adds a pending record to the bucket if the result is `taken`. `nowMs` is the wall time in
milliseconds.
*/
export function decideClaim(bucket: Bucket, request: ClaimRequest, nowMs: number): ClaimDecision {
	const existing = bucket.get(request.key);
	if (!existing || existing.until + maxClockSkewMs < nowMs) {
		removeExpired(bucket, nowMs);
		return bucket.size >= maxBucketRecords ? {result: claimResult.full} : addPendingClaim(bucket, request);
	}

	// An earlier write of this request took effect, but the store's answer to it was lost.
	if (existing.token === request.token) {
		return {result: claimResult.taken};
	}

	if (existing.call !== request.call) {
		return {result: claimResult.conflict};
	}

	return decideRepeat(bucket, existing, {request, nowMs});
}

/**
Records how a claimed call ended, and returns whether the record changed. A claim that another attempt holds is left as it is.
*/
export function settleClaim(bucket: Bucket, {key, token}: Pick<ClaimRequest, 'key' | 'token'>, outcome: ClaimOutcome): boolean {
	const existing = bucket.get(key);
	if (existing?.token !== token || existing.state === outcome.state) {
		return false;
	}

	bucket.set(key, {...existing, ...outcome});
	return true;
}

function decideRepeat(bucket: Bucket, existing: ClaimRecord, {request, nowMs}: {readonly request: ClaimRequest; readonly nowMs: number}): ClaimDecision {
	if (existing.state === claimState.done) {
		return {result: claimResult.done, answer: existing.answer};
	}

	if (existing.state === claimState.notRun) {
		return addPendingClaim(bucket, request);
	}

	if (existing.state === claimState.unknown || nowMs >= existing.due) {
		return {result: claimResult.unknown};
	}

	return {result: claimResult.pending, retryAfterMs: Math.max(minRetryAfterMs, Math.min(maxRetryAfterMs, existing.due - nowMs))};
}

function addPendingClaim(bucket: Bucket, request: ClaimRequest): ClaimDecision {
	const {key, call, token, due, until} = request;
	bucket.set(key, {
		key, call, state: claimState.pending, token, due, until,
	});
	return {result: claimResult.taken};
}

function removeExpired(bucket: Bucket, nowMs: number): void {
	for (const [key, record] of bucket) {
		if (record.until + maxClockSkewMs < nowMs) {
			bucket.delete(key);
		}
	}
}
