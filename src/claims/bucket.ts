import {claimResult, claimState} from './types.js';
import type {
	ClaimDecision, ClaimOutcome, ClaimRecord, ClaimRequest,
} from './types.js';

/** Most records of one bucket; with the largest answers they stay under the store's megabyte. */
export const maxBucketRecords = 800;

/** Clocks of VMs may differ by this much, in milliseconds; a record is kept for as much longer. */
const maxClockSkewMs = 3_600_000;
const maxRetryAfterMs = 2000;
const minRetryAfterMs = 100;

/** The records of one bucket by their keys. */
export type Bucket = Map<string, ClaimRecord>;

/** Turns the store's value into records. */
export function decodeBucket(value: string | undefined): Bucket {
	const records = value === undefined ? [] : JSON.parse(value) as readonly ClaimRecord[];
	return new Map(records.map(record => [record.key, record]));
}

/** Turns records into the store's value. */
export function encodeBucket(bucket: Bucket): string {
	return JSON.stringify([...bucket.values()]);
}

/** Decides an ask and puts its record into the bucket when it is taken. `nowMs` is the wall clock. */
export function decideClaim(bucket: Bucket, request: ClaimRequest, nowMs: number): ClaimDecision {
	const existing = bucket.get(request.key);
	if (!existing || existing.until + maxClockSkewMs < nowMs) {
		removeExpired(bucket, nowMs);
		return bucket.size >= maxBucketRecords ? {result: claimResult.full} : addPendingClaim(bucket, request);
	}

	// An earlier write of this very ask took effect and its answer was lost.
	if (existing.token === request.token) {
		return {result: claimResult.taken};
	}

	if (existing.call !== request.call) {
		return {result: claimResult.conflict};
	}

	return decideRepeat(bucket, existing, {request, nowMs});
}

/** Puts a call's end into its record and says whether anything changed; a claim of another attempt stays as it is. */
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
