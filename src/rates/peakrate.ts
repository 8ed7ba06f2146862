const decayFactor = 0.88;
const halfLifeMs = 3_600_000;

/** The highest of smoothed rates, sinking slowly: the rate that something reaches when nothing else holds it up. */
export class PeakRate {
	#amount = 0;
	#duration = 0;
	#peak = 0;
	#peakAt = 0;
	#count = 0;

	/** Number of samples so far. */
	get count(): number {
		return this.#count;
	}

	/** Adds a sample at `now`: an amount and the time it took. */
	add(amount: number, duration: number, now: number): void {
		this.#amount = (this.#amount * decayFactor) + amount;
		this.#duration = (this.#duration * decayFactor) + duration;
		this.#peak = Math.max(this.get(now), this.#amount / this.#duration);
		this.#peakAt = now;
		this.#count++;
	}

	/** Reads the peak at `now`. */
	get(now: number): number {
		return this.#peak * (0.5 ** ((now - this.#peakAt) / halfLifeMs));
	}
}
