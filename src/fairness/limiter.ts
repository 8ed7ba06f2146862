import type {CallerLimits} from '../deployment/index.js';
import type {TimerService} from '../timers/index.js';

/** Maximum number of callers that are remembered. */
const maxCallers = 8192;
/** Size of a caller's bucket, in seconds of its limit: what it may use at once. */
const burstSeconds = 2;
const millisecondsPerSecond = 1000;

/** What a caller may use now; `refilledAt` is a monotonic time, in milliseconds. */
type Bucket = {requests: number; tokens: number; refilledAt: number};

/** Whether a caller is within its limits; if not, the time until it will be, in milliseconds. */
export type LimitDecision = {readonly isWithinLimits: boolean; readonly waitMs: number};

/**
Token buckets of callers, for requests and for tokens per second. Each entry grants its share of the limits. The table is
bounded: the least recently seen caller is evicted, and gets a full bucket when it returns.
*/
export class CallerLimiter {
	readonly #timers: TimerService;
	readonly #capacity: number;
	readonly #buckets = new Map<string, Bucket>();

	constructor(timers: TimerService, capacity = maxCallers) {
		this.#timers = timers;
		this.#capacity = capacity;
	}

	/** Number of callers remembered. */
	get size(): number {
		return this.#buckets.size;
	}

	/** Takes one request of `tokens` tokens from a caller's buckets, if they hold enough. The buckets are refilled at `localShare` times `limits`. */
	tryTake(caller: string, tokens: number, limits: CallerLimits, localShare: number): LimitDecision {
		const bucket = this.#getBucket(caller, limits, localShare);
		// A request larger than the whole bucket passes when the bucket is full, which leaves it negative.
		const requiredTokens = Math.min(tokens, limits.tokensPerSecond * localShare * burstSeconds);
		if (bucket.requests >= 1 && bucket.tokens >= requiredTokens) {
			bucket.requests--;
			bucket.tokens -= tokens;
			return {isWithinLimits: true, waitMs: 0};
		}

		const requestWaitSeconds = (1 - bucket.requests) / (limits.requestsPerSecond * localShare);
		const tokenWaitSeconds = (requiredTokens - bucket.tokens) / (limits.tokensPerSecond * localShare);
		return {isWithinLimits: false, waitMs: Math.max(requestWaitSeconds, tokenWaitSeconds) * millisecondsPerSecond};
	}

	#getBucket(caller: string, limits: CallerLimits, localShare: number): Bucket {
		const now = this.#timers.getNow();
		const maxRequests = Math.max(1, limits.requestsPerSecond * localShare * burstSeconds);
		const maxTokens = limits.tokensPerSecond * localShare * burstSeconds;
		const bucket = this.#buckets.get(caller) ?? {requests: maxRequests, tokens: maxTokens, refilledAt: now};
		const elapsedSeconds = (now - bucket.refilledAt) / millisecondsPerSecond;
		bucket.requests = Math.min(maxRequests, bucket.requests + (elapsedSeconds * limits.requestsPerSecond * localShare));
		bucket.tokens = Math.min(maxTokens, bucket.tokens + (elapsedSeconds * limits.tokensPerSecond * localShare));
		bucket.refilledAt = now;
		this.#buckets.delete(caller);
		this.#buckets.set(caller, bucket);
		if (this.#buckets.size > this.#capacity) {
			this.#buckets.delete(this.#buckets.keys().next().value!);
		}

		return bucket;
	}
}
