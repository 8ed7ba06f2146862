import type {WorkSummary} from './types.js';

/** Length of a bucket, in milliseconds: shorter than a burst, and long enough for some tens of requests. */
const bucketMs = 500;
/** Number of buckets that are kept: the latest 15 s, longer than the usual waves of load. */
const bucketCount = 30;
/** Number of buckets in a row whose mean counts as a peak: in one alone, a single long prompt of a service with few requests would. */
const peakBuckets = 2;
/** Number of whole buckets of a recent mean. */
const meanBuckets = 3;
/** Number of buckets that count as the latest second, with the one that has begun. */
const recentBuckets = 3;
/** Weight of the newest prompt in the mean work. */
const meanWeight = 0.05;
const millisecondsPerSecond = 1000;

type Bucket = {
	index: number;
	/** Estimated time that the requests which arrived in it keep an engine busy with their prompts, in milliseconds. */
	promptMs: number;
	/** Time of all slots in which they decoded, in milliseconds. */
	decodeMs: number;
	/** Time of all requests that held a slot or waited for one, in milliseconds. */
	slotMs: number;
	requests: number;
	late: number;
};

/** A request that is being measured: the bucket in which it arrived and the work that was assumed. */
export type MeasuredArrival = {readonly index: number; readonly estimateMs: number};

/**
Measures the work that callers ask of the engines of one service, in constant memory and constant time for each request. A request counts when it arrives, granted
or not, so that the load is seen also when there are too few engines. Made for thousands of requests a second. Times are monotonic, in milliseconds.
*/
export class WorkMeter {
	readonly #buckets: Bucket[] = Array.from({length: bucketCount}, () => createBucket(-1));
	#waiting = 0;
	#held = 0;
	#decoding = 0;
	#countedUntil: number | undefined;
	#meanPromptMs = 0;
	#startedAt: number | undefined;

	/** Time of the first request; `undefined` before. */
	get startedAt(): number | undefined {
		return this.#startedAt;
	}

	/** Counts a request that arrives; its work is that of a mean prompt until it is known. */
	onArrival(now: number): MeasuredArrival {
		this.#advance(now);
		this.#startedAt ??= now;
		this.#waiting++;
		const bucket = this.#getBucket(now);
		bucket.requests++;
		bucket.promptMs += this.#meanPromptMs;
		return {index: bucket.index, estimateMs: this.#meanPromptMs};
	}

	/** Counts that a request no longer waits. `promptMs` is the estimated time that its prompt keeps an engine busy; `undefined` when it got no engine. */
	onWaitEnd({index, estimateMs}: MeasuredArrival, promptMs: number | undefined, isLate: boolean, now: number): void {
		this.#advance(now);
		this.#waiting--;
		if (isLate) {
			this.#getBucket(now).late++;
		}

		if (promptMs === undefined) {
			return;
		}

		this.#meanPromptMs = this.#meanPromptMs === 0 ? promptMs : this.#meanPromptMs + ((promptMs - this.#meanPromptMs) * meanWeight);
		const bucket = this.#buckets[index % bucketCount]!;
		if (bucket.index === index) {
			bucket.promptMs += promptMs - estimateMs;
		}
	}

	/** Counts a reservation from now on. */
	onHold(now: number): void {
		this.#advance(now);
		this.#held++;
	}

	/** Counts a reservation as one that decodes from now on. */
	onDecode(now: number): void {
		this.#advance(now);
		this.#decoding++;
	}

	/** Counts the end of a reservation that decoded. */
	onRelease(now: number): void {
		this.#advance(now);
		this.#held--;
		this.#decoding--;
	}

	/** Sums up the work of the latest 15 s for engines of a mean number of slots. */
	sumWork(slotsPerEngine: number, now: number): WorkSummary {
		this.#advance(now);
		const current = Math.floor(now / bucketMs);
		const kept = this.#buckets.filter(({index}) => index > current - bucketCount && index <= current);
		const computeWork = ({promptMs, decodeMs}: Bucket) => (promptMs + (decodeMs / Math.max(1, slotsPerEngine))) * millisecondsPerSecond / bucketMs;
		const computeMeanWork = (end: number, count = meanBuckets) => sumOf(kept.filter(({index}) => index < end && index >= end - count), computeWork) / count;
		const recent = kept.filter(({index}) => index > current - recentBuckets);
		return {
			peakWork: Math.max(0, ...kept.map(({index}) => computeMeanWork(index + 1, peakBuckets))),
			recentWork: computeMeanWork(current),
			earlierWork: computeMeanWork(current - meanBuckets),
			peakSlots: Math.max(0, ...kept.map(({slotMs}) => slotMs / bucketMs)),
			waiting: this.#waiting,
			recentRequests: sumOf(recent, ({requests}) => requests),
			recentLate: sumOf(recent, ({late}) => late),
		};
	}

	/** Adds the time since the latest change to the buckets that it falls in. */
	#advance(now: number): void {
		// What lies further back is no longer in any bucket.
		let from = Math.max(this.#countedUntil ?? now, now - (bucketMs * bucketCount));
		this.#countedUntil = now;
		while (from < now) {
			const until = Math.min(now, (Math.floor(from / bucketMs) + 1) * bucketMs);
			const bucket = this.#getBucket(from);
			bucket.slotMs += (this.#held + this.#waiting) * (until - from);
			bucket.decodeMs += this.#decoding * (until - from);
			from = until;
		}
	}

	#getBucket(at: number): Bucket {
		const index = Math.floor(at / bucketMs);
		const bucket = this.#buckets[index % bucketCount]!;
		if (bucket.index !== index) {
			Object.assign(bucket, createBucket(index));
		}

		return bucket;
	}
}

function createBucket(index: number): Bucket {
	return {
		index, promptMs: 0, decodeMs: 0, slotMs: 0, requests: 0, late: 0,
	};
}

function sumOf<Item>(items: readonly Item[], measure: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + measure(item), 0);
}
