const millisecondsPerSecond = 1000;

/**
A sum whose parts lose half their weight with each half-life; the rate is corrected for a short past.

@example
```
const tokens = new DecayedSum(10_000);
tokens.add(500, timers.getNow());
tokens.computeRate(timers.getNow()); // Tokens a second.
```
*/
export class DecayedSum {
	readonly #halfLifeMs: number;
	#value = 0;
	#updatedAt = 0;
	#startedAt: number | undefined;

	constructor(halfLifeMs: number) {
		this.#halfLifeMs = halfLifeMs;
	}

	/** Adds `amount` at the time `now`, in milliseconds. */
	add(amount: number, now: number): void {
		this.#startedAt ??= now;
		this.#value = this.get(now) + amount;
		this.#updatedAt = now;
	}

	/** Reads the decayed sum at `now`. */
	get(now: number): number {
		return this.#value * (0.5 ** (Math.max(0, now - this.#updatedAt) / this.#halfLifeMs));
	}

	/** Computes the rate a second at `now`; a past shorter than a second counts as a second. */
	computeRate(now: number): number {
		if (this.#startedAt === undefined) {
			return 0;
		}

		const elapsedMs = Math.max(millisecondsPerSecond, now - this.#startedAt);
		const weight = 1 - (0.5 ** (elapsedMs / this.#halfLifeMs));
		return this.get(now) * Math.LN2 * millisecondsPerSecond / (this.#halfLifeMs * weight);
	}
}
