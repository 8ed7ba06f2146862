/** Share of their weight that earlier samples keep with each new one. */
const decayFactor = 0.88;
/** Half-life of the peak, in milliseconds. */
const halfLifeMs = 3_600_000;

/** The highest smoothed rate, with slow decay: an estimate of the rate that is reached when nothing else is the bottleneck. */
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

	/** Adds a sample at `now`, in milliseconds: an amount and the time it took. */
	add(amount: number, duration: number, now: number): void {
		this.#amount = (this.#amount * decayFactor) + amount;
		this.#duration = (this.#duration * decayFactor) + duration;
		this.#peak = Math.max(this.get(now), this.#amount / this.#duration);
		this.#peakAt = now;
		this.#count++;
	}

	/** Returns the peak at `now`, in the unit of the amount over that of the time. */
	get(now: number): number {
		return this.#peak * (0.5 ** ((now - this.#peakAt) / halfLifeMs));
	}
}
