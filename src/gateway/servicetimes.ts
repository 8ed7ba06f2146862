/** Assumed before anything was measured, in milliseconds: reading a prompt, a message each way, one token. */
const initialMeanMs = 60;
const initialDeviationMs = 10;
/** Weight of the newest time. */
const newestWeight = 0.05;
/** Times beyond this multiple of the average tell of an engine in trouble and count as this much. */
const maxMeanMultiple = 2;
/** Deviations above the average that a time is taken to be: about one in six takes longer. */
const deviationsAboveMean = 1;

type TimeEstimate = {meanMs: number; deviationMs: number};

/** Time from a place to the first byte of an answer, learned for each route. */
export class ServiceTimes {
	readonly #estimates = new Map<string, TimeEstimate>();

	/** Takes in one time, in milliseconds. */
	add(route: string, ms: number): void {
		const estimate = this.#estimates.get(route) ?? {meanMs: initialMeanMs, deviationMs: initialDeviationMs};
		const difference = Math.min(ms, estimate.meanMs * maxMeanMultiple) - estimate.meanMs;
		estimate.meanMs += difference * newestWeight;
		estimate.deviationMs += (Math.abs(difference) - estimate.deviationMs) * newestWeight;
		this.#estimates.set(route, estimate);
	}

	/** Returns the time that most answers stay below, in milliseconds. */
	estimateMs(route: string): number {
		const estimate = this.#estimates.get(route);
		return estimate ? estimate.meanMs + (estimate.deviationMs * deviationsAboveMean) : initialMeanMs;
	}
}
