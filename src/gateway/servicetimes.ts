/** Estimate for a route without a measurement, in milliseconds: prefill of a prompt, network delay each way, one token. */
const initialMeanMs = 60;
const initialDeviationMs = 10;
/** Weight of the newest measurement in the moving averages. */
const newestWeight = 0.05;
/** Multiple of the mean at which a measurement is capped: a longer time points to an engine in trouble. */
const maxMeanMultiple = 2;
/** Number of mean deviations above the mean at which the estimate lies: about one answer in six takes longer. */
const deviationsAboveMean = 1;

type TimeEstimate = {meanMs: number; deviationMs: number};

/** Estimates, for each route, the time from a reservation to the first byte of the answer. */
export class ServiceTimes {
	readonly #estimates = new Map<string, TimeEstimate>();

	/** Adds a measured time, in milliseconds. */
	add(route: string, ms: number): void {
		const estimate = this.#estimates.get(route) ?? {meanMs: initialMeanMs, deviationMs: initialDeviationMs};
		const difference = Math.min(ms, estimate.meanMs * maxMeanMultiple) - estimate.meanMs;
		estimate.meanMs += difference * newestWeight;
		estimate.deviationMs += (Math.abs(difference) - estimate.deviationMs) * newestWeight;
		this.#estimates.set(route, estimate);
	}

	/** Returns a time that most answers of the route stay below, in milliseconds. */
	estimateMs(route: string): number {
		const estimate = this.#estimates.get(route);
		return estimate ? estimate.meanMs + (estimate.deviationMs * deviationsAboveMean) : initialMeanMs;
	}
}
