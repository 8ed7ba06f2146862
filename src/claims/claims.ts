import {createHash, randomBytes} from 'node:crypto';
import PQueue from 'p-queue';
import {NotRunError, refusalReason} from '../errors/index.js';
import {storeKey} from '../store/index.js';
import {decideClaim, settleClaim} from './bucket.js';
import {claimResult, claimState} from './types.js';
import type {
	ClaimAsk, ClaimDecision, ClaimEnd,
} from './types.js';
import {BucketWriter} from './writer.js';
import type {WriterParts} from './writer.js';

/**
Buckets of claims. The number and the name hold for ever and for the whole deployment: a key has to be found again
through any entry of any failure domain, and after the list of domains has changed.
*/
const bucketCount = 256;
const bucketOwner = 'shared';
const keptMs = 86_400_000;
/** A pending claim turns into unknown this long after its call's deadline, in milliseconds. */
const dueMarginMs = 1000;
const claimWaitMs = 2000;
const settleWaitMs = 500;
const settlePauseMs = 1000;
const storeConcurrency = 8;
const maxWaiting = 2000;
const maxUnsettled = 2000;
const maxWriters = 32;
const tokenBytes = 9;

/** A call whose key is to be claimed. */
export type ClaimCall = {
	readonly service: string;
	readonly caller: string;
	/** The caller's idempotency key. */
	readonly key: string;
	/** What the call is: method, path and body. */
	readonly parts: ReadonlyArray<string | Uint8Array>;
	/** Milliseconds left to the call's deadline. */
	readonly leftMs: number;
};

/** A claim that was taken, with what is needed to settle it. */
export type Claim = ClaimAsk & {readonly bucket: number};

/** Decision of a call's claim. */
export type Claimed = {readonly decision: ClaimDecision; readonly claim: Claim};

type Unsettled = {readonly claim: Claim; readonly end: ClaimEnd};

/**
Claims on idempotency keys, kept in the platform's store: a call is sent only after its claim was written there by
compare-and-swap. Claims that wait while a write is in flight share the next write.

@example
```
const {decision, claim} = await claims.take(call);
if (decision.result === 'taken') {
	await claims.settle(claim, {state: 'done', answer});
}
```
*/
export class Claims {
	readonly #parts: WriterParts;
	readonly #queue = new PQueue({concurrency: storeConcurrency});
	readonly #writers = new Map<number, BucketWriter>();
	readonly #active = new Set<number>();
	readonly #unsettled = new Map<string, Unsettled>();
	#waiting = 0;
	#isSettling = false;

	constructor(parts: WriterParts) {
		this.#parts = parts;
	}

	/** Counts what is held in memory, by table. */
	countHeld(): {readonly waiting: number; readonly unsettled: number; readonly writers: number} {
		return {waiting: this.#waiting, unsettled: this.#unsettled.size, writers: this.#writers.size};
	}

	/**
	Claims a call's key. Throws `NotRunError` (`store_down`) when the store does not answer in time, and
	`NotRunError` (`queue_full`) when too many claims wait.
	*/
	async take(call: ClaimCall): Promise<Claimed> {
		if (this.#waiting >= maxWaiting) {
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

	/** Writes how a claimed call ended; goes on trying in the background when the store does not answer in time. */
	async settle(claim: Claim, end: ClaimEnd): Promise<void> {
		if (this.#unsettled.size >= maxUnsettled) {
			// The claim stays pending and turns into unknown at its deadline.
			this.#parts.metrics.count('dropped', 'claim_end');
			return;
		}

		this.#unsettled.set(claim.token, {claim, end});
		const written = this.#writeEnd({claim, end});
		const limit = new AbortController();
		await Promise.race([written, this.#parts.timers.sleep(settleWaitMs, limit.signal)]);
		limit.abort();
		void this.#runSettling();
	}

	/** Waits until every end is written, at most `limitMs` milliseconds; returns how many are not. */
	async finish(limitMs: number): Promise<number> {
		const end = this.#parts.timers.getNow() + limitMs;
		while (this.#unsettled.size > 0 && this.#parts.timers.getNow() < end) {
			await this.#parts.timers.sleep(settlePauseMs / 10);
		}

		return this.#unsettled.size;
	}

	#createClaim(call: ClaimCall): Claim {
		const now = this.#parts.timers.getWallTime();
		const key = hashParts([call.service, call.caller, call.key]);
		return {
			key,
			call: hashParts(call.parts),
			token: randomBytes(tokenBytes).toString('base64url'),
			due: now + call.leftMs + dueMarginMs,
			until: now + keptMs,
			bucket: computeBucket(key),
		};
	}

	async #writeClaim(claim: Claim): Promise<ClaimDecision> {
		return new Promise((resolve, reject) => {
			let decision: ClaimDecision | undefined;
			let isOver = false;
			const onFailure = (cause?: unknown) => {
				timer.cancel();
				isOver = true;
				if (decision?.result === claimResult.taken) {
					// A write of it may have taken effect or still do so, and the call is never sent.
					void this.settle(claim, {state: claimState.notRun});
				}

				reject(createStoreDown(cause));
			};

			const timer = this.#parts.timers.startTimer(claimWaitMs, onFailure);
			this.#add(claim.bucket, {
				apply: bucket => {
					decision = decideClaim(bucket, claim, this.#parts.timers.getWallTime());
					return {
						isChanged: decision.result === claimResult.taken,
						isFinal: decision.result === claimResult.done || decision.result === claimResult.conflict,
					};
				},
				onDone() {
					timer.cancel();
					if (!isOver && decision) {
						resolve(decision);
					}
				},
				onError(error) {
					if (!isOver) {
						onFailure(error);
					}
				},
				isDropped: () => isOver,
			});
		});
	}

	async #writeEnd({claim, end}: Unsettled): Promise<void> {
		await new Promise<void>(resolve => {
			this.#add(claim.bucket, {
				apply: bucket => ({isChanged: settleClaim(bucket, claim, end), isFinal: false}),
				onDone: () => {
					this.#unsettled.delete(claim.token);
					resolve();
				},
				onError() {
					resolve();
				},
				isDropped: () => !this.#unsettled.has(claim.token),
			});
		});
	}

	async #runSettling(): Promise<void> {
		if (this.#isSettling) {
			return;
		}

		this.#isSettling = true;
		while (this.#unsettled.size > 0) {
			await this.#parts.timers.sleep(settlePauseMs);
			await Promise.all([...this.#unsettled.values()].map(async unsettled => this.#writeEnd(unsettled)));
		}

		this.#isSettling = false;
	}

	#add(bucket: number, change: Parameters<BucketWriter['add']>[0]): void {
		const writer = this.#getWriter(bucket);
		writer.add(change);
		if (!this.#active.has(bucket)) {
			this.#active.add(bucket);
			void this.#queue.add(async () => {
				while (writer.countWaiting() > 0) {
					await writer.run();
				}

				this.#active.delete(bucket);
				this.#forgetIdle();
			});
		}
	}

	#getWriter(bucket: number): BucketWriter {
		const writer = this.#writers.get(bucket) ?? new BucketWriter(storeKey.claims(bucketOwner, bucket), this.#parts);
		this.#writers.delete(bucket);
		this.#writers.set(bucket, writer);
		return writer;
	}

	/** Forgets the buckets that were not used for longest; those with work stay. */
	#forgetIdle(): void {
		for (const bucket of this.#writers.keys()) {
			if (this.#writers.size <= maxWriters) {
				return;
			}

			if (!this.#active.has(bucket)) {
				this.#writers.delete(bucket);
			}
		}
	}
}

function hashParts(parts: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const part of parts) {
		// Lengths keep parts apart whatever they hold.
		hash.update(`${part.length}:`).update(part);
	}

	return hash.digest('base64url').slice(0, 22);
}

function computeBucket(key: string): number {
	return createHash('sha256').update(key).digest().readUInt32BE(0) % bucketCount;
}

function createStoreDown(cause?: unknown): Error {
	return new NotRunError('the store can\'t keep the claim, so this request was not sent; one before it under the same key may have been', {cause, props: {reason: refusalReason.storeDown}});
}
