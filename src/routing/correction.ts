const decayFactor = 0.95;
const minFactor = 0.5;
const maxFactor = 4;
/** Time without an observation after which a correction has lost half of its weight, in milliseconds. */
const halfLifeMs = 20_000;

/** How much longer answers take than expected: a factor for estimates, learned from those that ended. */
export class LatencyCorrection {
	#expectedMs = 0;
	#actualMs = 0;
	#observedAt = 0;

	/** Learns from an answer that was expected to take `expectedMs` and took `actualMs`. */
	add(expectedMs: number, actualMs: number, now: number): void {
		this.#expectedMs = (this.#expectedMs * decayFactor) + expectedMs;
		this.#actualMs = (this.#actualMs * decayFactor) + actualMs;
		this.#observedAt = now;
	}

	/** Computes the factor at `now`; it goes back to 1 while nothing is observed. */
	computeFactor(now: number): number {
		if (this.#expectedMs <= 0) {
			return 1;
		}

		const factor = Math.min(maxFactor, Math.max(minFactor, this.#actualMs / this.#expectedMs));
		return 1 + ((factor - 1) * (0.5 ** (Math.max(0, now - this.#observedAt) / halfLifeMs)));
	}
}
