import type {RequestLimits} from './limits.js';
import type {LimitedEngine} from './types.js';

const millisecondsPerSecond = 1000;
/** Requests that may go out at once after a pause, in seconds of the limit, and the bounds of their number: two allocators at once have one burst each. */
const burstSeconds = 0.25;
const minBurst = 1.5;
const maxBurst = 3;
/** Rate below which a limit is raised, in requests a second: without any request the end of the limit would not be seen. */
const minPerSecond = 0.02;
/** Time before a limit was named whose requests are charged to it, and the longest time for which nothing is granted because of them, in milliseconds. */
const priorMs = 1000;
const repaymentMs = 3000;
/** Earlier requests that are not charged: those of `priorSeconds` of the limit, and a few. */
const priorSeconds = 2;
const priorRequests = 2;
/** Number of slices in which the requests of the latest `priorMs` are counted, beside the one in progress. */
const sliceCount = 5;
/** Maximum number of engines with a count of requests. */
const maxBuckets = 4096;

/** Requests that one engine was sent in the latest `priorMs`. */
class RecentCount {
	readonly #counts = Array.from({length: sliceCount + 1}, () => 0);
	#slice = 0;

	add(now: number): void {
		this.#advance(now);
		this.#counts[this.#slice % this.#counts.length]!++;
	}

	count(now: number): number {
		this.#advance(now);
		return this.#counts.reduce((sum, count) => sum + count, 0);
	}

	#advance(now: number): void {
		const slice = Math.floor(now * sliceCount / priorMs);
		for (let next = Math.max(this.#slice + 1, slice - sliceCount); next <= slice; next++) {
			this.#counts[next % this.#counts.length] = 0;
		}

		this.#slice = Math.max(this.#slice, slice);
	}
}

type Bucket = {
	readonly recent: RecentCount;
	/** Limit for which the bucket was set up; infinite without one. */
	perSecond: number;
	tokens: number;
	refilledAt: number;
	/** Number of further earlier requests that are not charged when they become known. */
	priorCredit: number;
	namedAt: number;
	/** Time from which a further refused request can expect a permit. */
	nextPromiseAt: number;
};

/**
Grants permits for single requests to engines that name a limit, so that all that it grants stay within the limit. One process
grants for all entries; while several do, each grants its share of the limit. Times are monotonic, in milliseconds.
*/
export class RequestPermits {
	readonly #limits: RequestLimits;
	readonly #getShare: (service: string) => number;
	readonly #buckets = new Map<string, Bucket>();

	/** Takes a function that returns the share of each limit of a service's engines that this process grants, above 0 up to 1. */
	constructor(limits: RequestLimits, getShare: (service: string) => number) {
		this.#limits = limits;
		this.#getShare = getShare;
	}

	/** Counts a request to an engine, limited or not: those just before a limit count against it. */
	onSend(engine: LimitedEngine, now: number): void {
		this.#getBucket(engine, now).recent.add(now);
	}

	/** Counts the requests of this process to an engine in the latest second. */
	countRecent(engine: LimitedEngine, now: number): number {
		return this.#buckets.get(this.#limits.formatKey(engine))?.recent.count(now) ?? 0;
	}

	/** Counts requests that another entry sent an engine shortly before its limit was named. */
	addPrior(engine: LimitedEngine, count: number, now: number): void {
		if (this.#limits.isLimited(engine)) {
			const bucket = this.#getBucket(engine, now);
			if (now - bucket.namedAt < repaymentMs) {
				addDebt(bucket, count);
			}
		}
	}

	/** Computes the time until an engine can take a request, in milliseconds; 0 when it can take one now. */
	computeWaitMs(engine: LimitedEngine, now: number): number {
		if (!this.#limits.isLimited(engine)) {
			return 0;
		}

		const {tokens} = this.#getBucket(engine, now);
		return tokens >= 1 ? 0 : (1 - tokens) * millisecondsPerSecond / this.#computeRate(engine);
	}

	/** Takes a permit; returns whether the limit allows it. */
	tryTake(engine: LimitedEngine, now: number): boolean {
		if (!this.#limits.isLimited(engine)) {
			return true;
		}

		const bucket = this.#getBucket(engine, now);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	/**
	Computes the time after which a refused request can expect a permit, in milliseconds, behind those that were refused before it. Keeps that
	time for it if its caller can return within `maxReturnMs`.
	*/
	scheduleReturnMs(engine: LimitedEngine, maxReturnMs: number, now: number): number {
		const bucket = this.#getBucket(engine, now);
		const promisedAt = Math.max(bucket.nextPromiseAt, now + this.computeWaitMs(engine, now));
		if (promisedAt - now <= maxReturnMs) {
			bucket.nextPromiseAt = promisedAt + (millisecondsPerSecond / this.#computeRate(engine));
		}

		return promisedAt - now;
	}

	#computeRate(engine: LimitedEngine): number {
		return Math.max(minPerSecond, this.#limits.getPerSecond(engine)) * this.#getShare(engine.service);
	}

	/** Returns the bucket of an engine, refilled up to `now`. */
	#getBucket(engine: LimitedEngine, now: number): Bucket {
		const key = this.#limits.formatKey(engine);
		const bucket = this.#buckets.get(key) ?? {
			recent: new RecentCount(), perSecond: Number.POSITIVE_INFINITY, tokens: 0, refilledAt: now, priorCredit: 0, namedAt: now, nextPromiseAt: now,
		};
		this.#buckets.delete(key);
		this.#buckets.set(key, bucket);
		this.#evict();
		const perSecond = this.#limits.getPerSecond(engine);
		if (!Number.isFinite(perSecond)) {
			bucket.perSecond = perSecond;
			return bucket;
		}

		const rate = this.#computeRate(engine);
		if (perSecond < bucket.perSecond) {
			this.#startLimit(bucket, perSecond, now);
		}

		bucket.perSecond = perSecond;
		const burst = Math.min(maxBurst, Math.max(minBurst, rate * burstSeconds));
		bucket.tokens = Math.min(burst, bucket.tokens + ((now - bucket.refilledAt) * rate / millisecondsPerSecond));
		bucket.refilledAt = now;
		return bucket;
	}

	/** Begins with a new or lower limit. Requests sent shortly before are charged to it, as the engine counts them too. */
	#startLimit(bucket: Bucket, perSecond: number, now: number): void {
		const isNew = !Number.isFinite(bucket.perSecond);
		bucket.tokens = isNew ? 0 : Math.min(bucket.tokens, minBurst);
		bucket.perSecond = perSecond;
		bucket.refilledAt = now;
		bucket.priorCredit = (perSecond * priorSeconds) + priorRequests;
		bucket.namedAt = now;
		bucket.nextPromiseAt = now;
		addDebt(bucket, bucket.recent.count(now));
	}

	#evict(): void {
		const [oldestKey] = this.#buckets.keys();
		if (this.#buckets.size > maxBuckets && oldestKey !== undefined) {
			this.#buckets.delete(oldestKey);
		}
	}
}

/** Charges requests that were sent before the limit was named. */
function addDebt(bucket: Bucket, count: number): void {
	const covered = Math.min(bucket.priorCredit, count);
	bucket.priorCredit -= covered;
	const maxDebt = bucket.perSecond * repaymentMs / millisecondsPerSecond;
	bucket.tokens = Math.max(Math.min(bucket.tokens, -maxDebt), bucket.tokens - (count - covered));
}
