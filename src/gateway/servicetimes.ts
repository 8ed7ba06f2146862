/** Assumed before anything was measured, in milliseconds: reading a prompt, a message each way, one token. */
const assumedMs = 60;
const assumedDeviationMs = 10;
/** Weight of the newest time. */
const newestWeight = 0.05;
/** Times beyond this multiple of the average tell of an engine in trouble and count as this much. */
const mostMultiple = 2;
/** Deviations above the average that a time is taken to be: about one in six takes longer. */
const deviations = 1;

type Average = {ms: number; deviationMs: number};

/** Time from a place to the first byte of an answer, learned for each route. */
export class ServiceTimes {
	readonly #averages = new Map<string, Average>();

	/** Takes in one time, in milliseconds. */
	add(route: string, ms: number): void {
		const average = this.#averages.get(route) ?? {ms: assumedMs, deviationMs: assumedDeviationMs};
		const difference = Math.min(ms, average.ms * mostMultiple) - average.ms;
		average.ms += difference * newestWeight;
		average.deviationMs += (Math.abs(difference) - average.deviationMs) * newestWeight;
		this.#averages.set(route, average);
	}

	/** Returns the time that most answers stay below, in milliseconds. */
	get(route: string): number {
		const average = this.#averages.get(route);
		return average ? average.ms + (average.deviationMs * deviations) : assumedMs;
	}
}
