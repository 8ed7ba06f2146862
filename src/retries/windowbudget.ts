import type {TimerService} from '../timers/index.js';

/** Limit of retries over all entries together. A retry is any send of a request to an engine beyond its first. */
export type RetryLimit = {
	/** Retries allowed for each request. */
	readonly ratio: number;
	/** Retries allowed in a window beside those, over all entries; infinite if not given. */
	readonly slack?: number;
	/** Number of entries that share the slack. */
	readonly entryCount?: number;
	/** Sliding window over which retries and requests are counted, in milliseconds. */
	readonly windowMs: number;
};

/** Number of slices of the window, which moves by one slice at a time. */
const sliceCount = 10;
/** Share of the limit that is used: the windows of the entries, and of whoever checks the limit, are not aligned. */
const safetyFactor = 0.8;
/** Maximum number of retries in a window that an entry may make without any requests; less where its share of the slack is less. */
const maxFreeRetries = 2;

/** Requests and retries of one service in each slice of the window, at the index `slice % sliceCount`; `slice` is the latest. */
type WindowCounts = {readonly requests: number[]; readonly retries: number[]; slice: number};

/**
Limits the retries of each service by the number of requests that this entry received. Entries need not communicate: if
each keeps the ratio of retries to its own requests, and its share of the slack, all of them together keep the limit too.
*/
export class WindowRetryBudget {
	readonly #timers: TimerService;
	#limit: RetryLimit;
	readonly #counts = new Map<string, WindowCounts>();

	constructor(timers: TimerService, limit: RetryLimit) {
		this.#timers = timers;
		this.#limit = limit;
	}

	/** Replaces the limit; a new window length starts all counts again. */
	setLimit(limit: RetryLimit): void {
		if (limit.windowMs !== this.#limit.windowMs) {
			this.#counts.clear();
		}

		this.#limit = limit;
	}

	/** Counts a request from a caller. */
	countRequest(service: string): void {
		const counts = this.#getCounts(service);
		counts.requests[counts.slice % sliceCount] = (counts.requests[counts.slice % sliceCount] ?? 0) + 1;
	}

	/** Takes one retry from the budget; returns whether the limit allows it. */
	tryTake(service: string): boolean {
		const counts = this.#getCounts(service);
		const {ratio, slack = Number.POSITIVE_INFINITY, entryCount = 1} = this.#limit;
		const freeRetries = Math.min(maxFreeRetries, slack * safetyFactor / Math.max(1, entryCount));
		const maxRetries = freeRetries + (computeSum(counts.requests) * ratio * safetyFactor);
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
