/** Share of their weight that earlier observations keep with each new one. */
const decayFactor = 0.95;
const minFactor = 0.5;
const maxFactor = 4;
/** Time without an observation after which the correction is half as large, in milliseconds. */
const halfLifeMs = 20_000;

/** Factor by which answers take longer than estimated, learned from those that ended. */
export class LatencyCorrection {
	#expectedMs = 0;
	#actualMs = 0;
	#observedAt = 0;

	/** Adds an answer that ended at `now`: it was expected to take `expectedMs` and took `actualMs`. */
	add(expectedMs: number, actualMs: number, now: number): void {
		this.#expectedMs = (this.#expectedMs * decayFactor) + expectedMs;
		this.#actualMs = (this.#actualMs * decayFactor) + actualMs;
		this.#observedAt = now;
	}

	/** Computes the factor at `now`, in monotonic milliseconds. It returns to 1 while nothing is observed. */
	computeFactor(now: number): number {
		if (this.#expectedMs <= 0) {
			return 1;
		}

		const factor = Math.min(maxFactor, Math.max(minFactor, this.#actualMs / this.#expectedMs));
		return 1 + ((factor - 1) * (0.5 ** (Math.max(0, now - this.#observedAt) / halfLifeMs)));
	}
}
