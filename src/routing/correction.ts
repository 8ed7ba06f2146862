const keptWeight = 0.95;
const leastFactor = 0.5;
const mostFactor = 4;
/** Time without an observation after which a correction has lost half of its weight, in milliseconds. */
const halfLifeMs = 20_000;

/** How much longer answers take than expected: a factor for estimates, learned from those that ended. */
export class Correction {
	#expectedMs = 0;
	#actualMs = 0;
	#at = 0;

	/** Learns from an answer that was expected to take `expectedMs` and took `actualMs`. */
	add(expectedMs: number, actualMs: number, now: number): void {
		this.#expectedMs = (this.#expectedMs * keptWeight) + expectedMs;
		this.#actualMs = (this.#actualMs * keptWeight) + actualMs;
		this.#at = now;
	}

	/** Computes the factor at `now`; it goes back to 1 while nothing is observed. */
	computeFactor(now: number): number {
		if (this.#expectedMs <= 0) {
			return 1;
		}

		const factor = Math.min(mostFactor, Math.max(leastFactor, this.#actualMs / this.#expectedMs));
		return 1 + ((factor - 1) * (0.5 ** (Math.max(0, now - this.#at) / halfLifeMs)));
	}
}
