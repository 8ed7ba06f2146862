import type {TimerService} from '../timers/index.js';

/** Estimate for a route without a measurement, in milliseconds: prefill of a prompt, network delay each way, one token. */
const initialMeanMs = 60;
const initialDeviationMs = 10;
/** Weight of the newest measurement in the moving averages, once there are enough for it to be the smaller one. */
const newestWeight = 0.05;
/** Multiple of the mean at which a measurement is capped, once there are several: a longer time points to an engine in trouble. */
const maxMeanMultiple = 2;
/** Number of measurements from which the cap applies. */
const minCappedCount = 5;
/** Number of mean deviations above the mean at which the estimate lies: about one answer in six takes longer. */
const deviationsAboveMean = 1;

/** Age of the latest measurement from which an estimate that rules out requests may be dropped, in milliseconds. */
const maxRulingOutMs = 1000;
/** Number of requests ruled out since the latest measurement from which it may be dropped: a single one may just have had little time left. */
const maxRuledOut = 4;

type TimeEstimate = {
	count: number;
	meanMs: number;
	deviationMs: number;
	/** Monotonic time of the latest measurement, in milliseconds. */
	measuredAt: number;
	/** Number of requests since then that have less time left than the estimate. */
	ruledOut: number;
};

/** Estimates, for each route, the time from a reservation to the first byte of the answer. */
export class ServiceTimes {
	readonly #timers: TimerService;
	readonly #estimates = new Map<string, TimeEstimate>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Adds a measured time, in milliseconds. */
	add(route: string, ms: number): void {
		const estimate = this.#estimates.get(route) ?? {
			count: 0, meanMs: ms, deviationMs: initialDeviationMs, measuredAt: 0, ruledOut: 0,
		};
		const weight = Math.max(newestWeight, 1 / (estimate.count + 1));
		const difference = (estimate.count < minCappedCount ? ms : Math.min(ms, estimate.meanMs * maxMeanMultiple)) - estimate.meanMs;
		estimate.count++;
		estimate.measuredAt = this.#timers.getNow();
		estimate.ruledOut = 0;
		estimate.meanMs += difference * weight;
		estimate.deviationMs += (Math.abs(difference) - estimate.deviationMs) * weight;
		this.#estimates.set(route, estimate);
	}

	/**
	Returns a time that most answers of the route stay below, in milliseconds, for a request that has `remainingMs` left. An estimate that has ruled out
	all requests for a while is dropped: none of them is served, so none would correct it.
	*/
	estimateMs(route: string, remainingMs: number): number {
		const estimate = this.#estimates.get(route);
		if (!estimate) {
			return initialMeanMs;
		}

		const estimatedMs = estimate.meanMs + (estimate.deviationMs * deviationsAboveMean);
		if (estimatedMs < remainingMs) {
			return estimatedMs;
		}

		estimate.ruledOut++;
		if (estimate.ruledOut < maxRuledOut || this.#timers.getNow() - estimate.measuredAt < maxRulingOutMs) {
			return estimatedMs;
		}

		this.#estimates.delete(route);
		return initialMeanMs;
	}
}
