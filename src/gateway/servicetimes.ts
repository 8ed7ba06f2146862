/** Assumed before anything was measured, in milliseconds: reading a prompt, a message each way, one token. */
const assumedMs = 60;
/** Weight of the newest time. */
const newestWeight = 0.05;
/** Times beyond this multiple of the average tell of an engine in trouble and count as this much. */
const mostMultiple = 2;

/** Time from a place to the first byte of an answer, learned for each route. */
export class ServiceTimes {
	readonly #averages = new Map<string, number>();

	/** Takes in one time, in milliseconds. */
	add(route: string, ms: number): void {
		const average = this.get(route);
		this.#averages.set(route, average + ((Math.min(ms, average * mostMultiple) - average) * newestWeight));
	}

	/** Returns the average time, in milliseconds. */
	get(route: string): number {
		return this.#averages.get(route) ?? assumedMs;
	}
}
