const keptWeight = 0.88;
const halfLifeMs = 3_600_000;

/** The highest of smoothed rates, sinking slowly: the rate that something reaches when nothing else holds it up. */
export class Peak {
	#amount = 0;
	#time = 0;
	#value = 0;
	#at = 0;
	#count = 0;

	/** Number of samples so far. */
	get count(): number {
		return this.#count;
	}

	/** Adds a sample at `now`: an amount and the time it took. */
	add(amount: number, time: number, now: number): void {
		this.#amount = (this.#amount * keptWeight) + amount;
		this.#time = (this.#time * keptWeight) + time;
		this.#value = Math.max(this.get(now), this.#amount / this.#time);
		this.#at = now;
		this.#count++;
	}

	/** Reads the peak at `now`. */
	get(now: number): number {
		return this.#value * (0.5 ** ((now - this.#at) / halfLifeMs));
	}
}
