import {claimResult, claimState} from './types.js';
import type {
	ClaimAsk, ClaimDecision, ClaimEnd, ClaimRecord,
} from './types.js';

/** Most records of one bucket; with the largest answers they stay under the store's megabyte. */
export const maxBucketRecords = 800;

/** Clocks of VMs may differ by this much, in milliseconds; a record is kept for as much longer. */
const clockMarginMs = 3_600_000;
const longestPauseMs = 2000;
const shortestPauseMs = 100;

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
export function decideClaim(bucket: Bucket, ask: ClaimAsk, nowMs: number): ClaimDecision {
	const found = bucket.get(ask.key);
	if (!found || found.until + clockMarginMs < nowMs) {
		removeExpired(bucket, nowMs);
		return bucket.size >= maxBucketRecords ? {result: claimResult.full} : takeClaim(bucket, ask);
	}

	// An earlier write of this very ask took effect and its answer was lost.
	if (found.token === ask.token) {
		return {result: claimResult.taken};
	}

	if (found.call !== ask.call) {
		return {result: claimResult.conflict};
	}

	return decideRepeat(bucket, found, {ask, nowMs});
}

/** Puts a call's end into its record and says whether anything changed; a claim of another attempt stays as it is. */
export function settleClaim(bucket: Bucket, {key, token}: Pick<ClaimAsk, 'key' | 'token'>, end: ClaimEnd): boolean {
	const found = bucket.get(key);
	if (found?.token !== token || found.state === end.state) {
		return false;
	}

	bucket.set(key, {...found, ...end});
	return true;
}

function decideRepeat(bucket: Bucket, found: ClaimRecord, {ask, nowMs}: {readonly ask: ClaimAsk; readonly nowMs: number}): ClaimDecision {
	if (found.state === claimState.done) {
		return {result: claimResult.done, answer: found.answer};
	}

	if (found.state === claimState.notRun) {
		return takeClaim(bucket, ask);
	}

	if (found.state === claimState.unknown || nowMs >= found.due) {
		return {result: claimResult.unknown};
	}

	return {result: claimResult.pending, retryAfterMs: Math.max(shortestPauseMs, Math.min(longestPauseMs, found.due - nowMs))};
}

function takeClaim(bucket: Bucket, ask: ClaimAsk): ClaimDecision {
	const {key, call, token, due, until} = ask;
	bucket.set(key, {
		key, call, state: claimState.pending, token, due, until,
	});
	return {result: claimResult.taken};
}

function removeExpired(bucket: Bucket, nowMs: number): void {
	for (const [key, record] of bucket) {
		if (record.until + clockMarginMs < nowMs) {
			bucket.delete(key);
		}
	}
}
