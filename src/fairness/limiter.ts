import type {CallerLimits} from '../deployment/index.js';
import type {TimerService} from '../timers/index.js';

const longestTable = 8192;
/** Seconds of its limit that a caller may use at once. */
const burstSeconds = 2;
const millisecondsPerSecond = 1000;

type Bucket = {requests: number; tokens: number; at: number};

/** Whether a caller is within its limits; if not, when it will be, in milliseconds. */
export type LimitVerdict = {readonly isWithin: boolean; readonly waitMs: number};

/**
Token buckets of callers, for requests and for tokens a second; each entry gives out its part of the limits.
The table is bounded: the caller not heard for longest is forgotten, which gives it a full bucket again.
*/
export class CallerLimiter {
	readonly #timers: TimerService;
	readonly #capacity: number;
	readonly #buckets = new Map<string, Bucket>();

	constructor(timers: TimerService, capacity = longestTable) {
		this.#timers = timers;
		this.#capacity = capacity;
	}

	/** Number of callers remembered. */
	get size(): number {
		return this.#buckets.size;
	}

	/** Takes one request of `tokens` tokens from a caller's part, `share` of `limits`, if it has as much. */
	tryTake(caller: string, tokens: number, limits: CallerLimits, share: number): LimitVerdict {
		const bucket = this.#getBucket(caller, limits, share);
		// A request larger than a whole burst passes on a full bucket, which then goes below nothing.
		const wantedTokens = Math.min(tokens, limits.tokensPerSecond * share * burstSeconds);
		if (bucket.requests >= 1 && bucket.tokens >= wantedTokens) {
			bucket.requests--;
			bucket.tokens -= tokens;
			return {isWithin: true, waitMs: 0};
		}

		const requestWait = (1 - bucket.requests) / (limits.requestsPerSecond * share);
		const tokenWait = (wantedTokens - bucket.tokens) / (limits.tokensPerSecond * share);
		return {isWithin: false, waitMs: Math.max(requestWait, tokenWait) * millisecondsPerSecond};
	}

	#getBucket(caller: string, limits: CallerLimits, share: number): Bucket {
		const now = this.#timers.getNow();
		const mostRequests = Math.max(1, limits.requestsPerSecond * share * burstSeconds);
		const mostTokens = limits.tokensPerSecond * share * burstSeconds;
		const known = this.#buckets.get(caller) ?? {requests: mostRequests, tokens: mostTokens, at: now};
		const seconds = (now - known.at) / millisecondsPerSecond;
		known.requests = Math.min(mostRequests, known.requests + (seconds * limits.requestsPerSecond * share));
		known.tokens = Math.min(mostTokens, known.tokens + (seconds * limits.tokensPerSecond * share));
		known.at = now;
		this.#buckets.delete(caller);
		this.#buckets.set(caller, known);
		if (this.#buckets.size > this.#capacity) {
			this.#buckets.delete(this.#buckets.keys().next().value!);
		}

		return known;
	}
}
