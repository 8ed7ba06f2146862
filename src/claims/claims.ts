import {createHash, randomBytes} from 'node:crypto';
import PQueue from 'p-queue';
import {NotRunError, refusalReason} from '../errors/index.js';
import {storeKey} from '../store/index.js';
import {decideClaim, settleClaim} from './bucket.js';
import {claimResult, claimState} from './types.js';
import type {
	ClaimDecision, ClaimOutcome, ClaimRequest,
} from './types.js';
import {BucketWriter} from './writer.js';
import type {WriterDependencies} from './writer.js';

/**
Number of buckets that claims are spread over, and the domain in their store keys. Both must never change and are the same in
the whole deployment: a key has to be found through any entry of any failure domain, also after the list of domains has changed.
*/
const bucketCount = 256;
const bucketDomain = 'shared';
/** Time from its claim for which a record is kept: a day. */
const retentionMs = 86_400_000;
/** Time from the deadline of a call until its pending claim is reported as unknown. */
const deadlineMarginMs = 1000;
const claimTimeoutMs = 2000;
/** Time for which `settle` waits for the outcome to be written; then the write goes on in the background. */
const settleTimeoutMs = 500;
const settleIntervalMs = 1000;
/** Largest number of buckets that are read or written at the same time. */
const storeConcurrency = 8;
const maxWaitingClaims = 2000;
const maxUnsettledClaims = 2000;
/** Writers that are kept, with their cached buckets, before idle ones are evicted. */
const maxWriters = 32;
const tokenBytes = 9;

/** A call whose key is to be claimed. */
export type ClaimCall = {
	readonly service: string;
	readonly caller: string;
	/** The caller's idempotency key. */
	readonly key: string;
	/** The method, path and body. A repeat with other content under the same key is a conflict. */
	readonly content: ReadonlyArray<string | Uint8Array>;
	/** Time left until the deadline of the call. */
	readonly deadlineMs: number;
};

/** A claim on a key, with what is needed to settle it. */
export type Claim = ClaimRequest & {readonly bucketIndex: number};

/** A claim and the decision on it. */
export type DecidedClaim = {readonly decision: ClaimDecision; readonly claim: Claim};

type UnsettledClaim = {readonly claim: Claim; readonly outcome: ClaimOutcome};

/**
Claims on idempotency keys, kept in the platform's store, which all entries share. A call is sent only after its claim was written
there by compare-and-swap, so that a call with a key runs at most once. Claims that arrive during a write of their bucket are
written together in the next one.

@example
```
const {decision, claim} = await claims.take(call);
if (decision.result === 'taken') {
	await claims.settle(claim, {state: 'done', answer});
}
```
*/
export class Claims {
	readonly #dependencies: WriterDependencies;
	readonly #storeQueue = new PQueue({concurrency: storeConcurrency});
	readonly #writers = new Map<number, BucketWriter>();
	readonly #activeBuckets = new Set<number>();
	readonly #unsettled = new Map<string, UnsettledClaim>();
	#waiting = 0;
	#isRetrying = false;

	constructor(dependencies: WriterDependencies) {
		this.#dependencies = dependencies;
	}

	/** Counts what is held in memory: claims that wait for the store, outcomes not written yet, and writers of buckets. */
	countHeld(): {readonly waiting: number; readonly unsettled: number; readonly writers: number} {
		return {waiting: this.#waiting, unsettled: this.#unsettled.size, writers: this.#writers.size};
	}

	/**
	Claims the key of a call. Throws `NotRunError` with reason `store_down` if the store fails or does not answer in time, and with
	reason `queue_full` if too many claims wait for the store.
	*/
	async take(call: ClaimCall): Promise<DecidedClaim> {
		if (this.#waiting >= maxWaitingClaims) {
			throw new NotRunError('too many claims wait for the store', {props: {reason: refusalReason.queueFull}});
		}

		const claim = this.#createClaim(call);
		this.#waiting++;
		try {
			return {decision: await this.#writeClaim(claim), claim};
		} finally {
			this.#waiting--;
		}
	}

	/**
	Records how a claimed call ended. If the store does not answer in time, returns and retries the write in the background until
	it succeeds. If too many outcomes are not written yet, this one is dropped.
	*/
	async settle(claim: Claim, outcome: ClaimOutcome): Promise<void> {
		if (this.#unsettled.size >= maxUnsettledClaims) {
			// The claim stays pending in the store, and is reported as unknown once it is due.
			this.#dependencies.metrics.count('dropped', 'claim_end');
			return;
		}

		this.#unsettled.set(claim.token, {claim, outcome});
		const written = this.#writeOutcome({claim, outcome});
		const timeoutAbort = new AbortController();
		await Promise.race([written, this.#dependencies.timers.sleep(settleTimeoutMs, timeoutAbort.signal)]);
		timeoutAbort.abort();
		void this.#retryUnsettled();
	}

	/** Waits until every outcome is written, for at most `timeoutMs`. Returns how many are still not written. */
	async finish(timeoutMs: number): Promise<number> {
		const deadlineAt = this.#dependencies.timers.getNow() + timeoutMs;
		while (this.#unsettled.size > 0 && this.#dependencies.timers.getNow() < deadlineAt) {
			await this.#dependencies.timers.sleep(settleIntervalMs / 10);
		}

		return this.#unsettled.size;
	}

	#createClaim(call: ClaimCall): Claim {
		const now = this.#dependencies.timers.getWallTime();
		const key = hashParts([call.service, call.caller, call.key]);
		return {
			key,
			call: hashParts(call.content),
			token: randomBytes(tokenBytes).toString('base64url'),
			due: now + call.deadlineMs + deadlineMarginMs,
			until: now + retentionMs,
			bucketIndex: computeBucketIndex(key),
		};
	}

	async #writeClaim(claim: Claim): Promise<ClaimDecision> {
		return new Promise((resolve, reject) => {
			let decision: ClaimDecision | undefined;
			let hasFailed = false;
			const onFailure = (cause?: unknown) => {
				timer.cancel();
				hasFailed = true;
				if (decision?.result === claimResult.taken) {
					// A write of this claim may have taken effect, or may still do so, but the call won't be sent.
					void this.settle(claim, {state: claimState.notRun});
				}

				reject(createStoreDownError(cause));
			};

			const timer = this.#dependencies.timers.startTimeout(claimTimeoutMs, onFailure);
			this.#addChange(claim.bucketIndex, {
				apply: bucket => {
					decision = decideClaim(bucket, claim, this.#dependencies.timers.getWallTime());
					return {
						isChanged: decision.result === claimResult.taken,
						isFinal: decision.result === claimResult.done || decision.result === claimResult.conflict,
					};
				},
				onDone() {
					timer.cancel();
					if (!hasFailed && decision) {
						resolve(decision);
					}
				},
				onError(error) {
					if (!hasFailed) {
						onFailure(error);
					}
				},
				isAbandoned: () => hasFailed,
			});
		});
	}

	async #writeOutcome({claim, outcome}: UnsettledClaim): Promise<void> {
		await new Promise<void>(resolve => {
			this.#addChange(claim.bucketIndex, {
				apply: bucket => ({isChanged: settleClaim(bucket, claim, outcome), isFinal: false}),
				onDone: () => {
					this.#unsettled.delete(claim.token);
					resolve();
				},
				onError() {
					resolve();
				},
				isAbandoned: () => !this.#unsettled.has(claim.token),
			});
		});
	}

	async #retryUnsettled(): Promise<void> {
		if (this.#isRetrying) {
			return;
		}

		this.#isRetrying = true;
		while (this.#unsettled.size > 0) {
			await this.#dependencies.timers.sleep(settleIntervalMs);
			await Promise.all([...this.#unsettled.values()].map(async unsettled => this.#writeOutcome(unsettled)));
		}

		this.#isRetrying = false;
	}

	#addChange(bucketIndex: number, change: Parameters<BucketWriter['add']>[0]): void {
		const writer = this.#getWriter(bucketIndex);
		writer.add(change);
		if (!this.#activeBuckets.has(bucketIndex)) {
			this.#activeBuckets.add(bucketIndex);
			void this.#storeQueue.add(async () => {
				try {
					while (writer.countWaiting() > 0) {
						await writer.run();
					}
				} finally {
					// A bucket that stayed active would never be written again.
					this.#activeBuckets.delete(bucketIndex);
					this.#evictIdleWriters();
				}
			});
		}
	}

	#getWriter(bucketIndex: number): BucketWriter {
		const writer = this.#writers.get(bucketIndex) ?? new BucketWriter(storeKey.claims(bucketDomain, bucketIndex), this.#dependencies);
		this.#writers.delete(bucketIndex);
		this.#writers.set(bucketIndex, writer);
		return writer;
	}

	/** Evicts the least recently used writers above the limit, except those that have changes to write. */
	#evictIdleWriters(): void {
		for (const bucketIndex of this.#writers.keys()) {
			if (this.#writers.size <= maxWriters) {
				return;
			}

			if (!this.#activeBuckets.has(bucketIndex)) {
				this.#writers.delete(bucketIndex);
			}
		}
	}
}

function hashParts(parts: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const part of parts) {
		// The length before each part ensures that different lists of parts never give the same input to the hash.
		hash.update(`${part.length}:`).update(part);
	}

	return hash.digest('base64url').slice(0, 22);
}

function computeBucketIndex(key: string): number {
	return createHash('sha256').update(key).digest().readUInt32BE(0) % bucketCount;
}

function createStoreDownError(cause?: unknown): Error {
	return new NotRunError('the store can\'t keep the claim, so this request was not sent; one before it under the same key may have been', {cause, props: {reason: refusalReason.storeDown}});
}
