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

type TimeEstimate = {count: number; meanMs: number; deviationMs: number};

/** Estimates, for each route, the time from a reservation to the first byte of the answer. */
export class ServiceTimes {
	readonly #estimates = new Map<string, TimeEstimate>();

	/** Adds a measured time, in milliseconds. */
	add(route: string, ms: number): void {
		const estimate = this.#estimates.get(route) ?? {count: 0, meanMs: ms, deviationMs: initialDeviationMs};
		const weight = Math.max(newestWeight, 1 / (estimate.count + 1));
		const difference = (estimate.count < minCappedCount ? ms : Math.min(ms, estimate.meanMs * maxMeanMultiple)) - estimate.meanMs;
		estimate.count++;
		estimate.meanMs += difference * weight;
		estimate.deviationMs += (Math.abs(difference) - estimate.deviationMs) * weight;
		this.#estimates.set(route, estimate);
	}

	/** Returns a time that most answers of the route stay below, in milliseconds. */
	estimateMs(route: string): number {
		const estimate = this.#estimates.get(route);
		return estimate ? estimate.meanMs + (estimate.deviationMs * deviationsAboveMean) : initialMeanMs;
	}
}
