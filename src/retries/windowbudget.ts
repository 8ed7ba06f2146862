import type {TimerService} from '../timers/index.js';

/** The bound on sends beyond the first of each request, over all entries together. */
export type RetryLimit = {
	/** Further sends allowed for each request. */
	readonly ratio: number;
	/** Sliding window over which both are counted, in milliseconds. */
	readonly windowMs: number;
};

const sliceCount = 10;
/** Part of the bound that is used: windows of the entries and of the judge of the bound are not aligned. */
const safetyFactor = 0.8;
/** Further sends in a window that an entry may make without requests: small beside the slack that the bound gives an entry. */
const freeRetries = 2;

type WindowCounts = {readonly requests: number[]; readonly retries: number[]; slice: number};

/**
Bounds sends beyond the first of each request, service by service, by what this entry alone was asked. Entries need not
talk: if each keeps to its own requests, their sum keeps to the sum.
*/
export class WindowRetryBudget {
	readonly #timers: TimerService;
	#limit: RetryLimit;
	readonly #counts = new Map<string, WindowCounts>();

	constructor(timers: TimerService, limit: RetryLimit) {
		this.#timers = timers;
		this.#limit = limit;
	}

	/** Puts another bound into force. */
	setLimit(limit: RetryLimit): void {
		if (limit.windowMs !== this.#limit.windowMs) {
			this.#counts.clear();
		}

		this.#limit = limit;
	}

	/** Counts a request that a caller sent. */
	countRequest(service: string): void {
		const counts = this.#getCounts(service);
		counts.requests[counts.slice % sliceCount] = (counts.requests[counts.slice % sliceCount] ?? 0) + 1;
	}

	/** Takes one further send, if the bound allows it. */
	tryTake(service: string): boolean {
		const counts = this.#getCounts(service);
		const maxRetries = freeRetries + (computeSum(counts.requests) * this.#limit.ratio * safetyFactor);
		if (computeSum(counts.retries) + 1 > maxRetries) {
			return false;
		}

		counts.retries[counts.slice % sliceCount] = (counts.retries[counts.slice % sliceCount] ?? 0) + 1;
		return true;
	}

	#getCounts(service: string): WindowCounts {
		const slice = Math.floor(this.#timers.getNow() / (this.#limit.windowMs / sliceCount));
		let counts = this.#counts.get(service);
		if (!counts) {
			counts = {requests: Array.from({length: sliceCount}, () => 0), retries: Array.from({length: sliceCount}, () => 0), slice};
			this.#counts.set(service, counts);
		}

		for (let newSlice = Math.max(counts.slice + 1, slice - sliceCount + 1); newSlice <= slice; newSlice++) {
			counts.requests[newSlice % sliceCount] = 0;
			counts.retries[newSlice % sliceCount] = 0;
		}

		counts.slice = slice;
		return counts;
	}
}

function computeSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
