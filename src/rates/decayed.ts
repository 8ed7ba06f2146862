const millisecondsPerSecond = 1000;

/**
A sum in which each amount loses half of its weight per half-life, and the rate that follows from it. The rate is corrected while few half-lives have passed.

@example
```
const tokens = new DecayedSum(10_000);
tokens.add(500, timers.getNow());
tokens.computeRate(timers.getNow()); // Tokens per second.
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

	/** Adds `amount` at `now`, in milliseconds. */
	add(amount: number, now: number): void {
		this.#startedAt ??= now;
		this.#value = this.get(now) + amount;
		this.#updatedAt = now;
	}

	/** Returns the sum at `now`, in milliseconds. */
	get(now: number): number {
		return this.#value * (0.5 ** (Math.max(0, now - this.#updatedAt) / this.#halfLifeMs));
	}

	/** Computes the rate per second at `now`. The time since the first amount counts as at least a second. */
	computeRate(now: number): number {
		if (this.#startedAt === undefined) {
			return 0;
		}

		const elapsedMs = Math.max(millisecondsPerSecond, now - this.#startedAt);
		const weight = 1 - (0.5 ** (elapsedMs / this.#halfLifeMs));
		return this.get(now) * Math.LN2 * millisecondsPerSecond / (this.#halfLifeMs * weight);
	}
}
