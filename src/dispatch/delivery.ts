import {DecayedSum} from '../rates/index.js';

/** Half-life of the measured rate, in milliseconds: some ten reads. */
const halfLifeMs = 150;
/** Time for which the shortest read counts, in milliseconds: while an engine is full all reads wait, and none tells the way alone. */
const shortestForMs = 30_000;
/** Longest way that is allowed for, in milliseconds: half of a short target. */
const longestWayMs = 60;
const millisecondsPerSecond = 1000;

/**
Measures what one engine delivers of the prompts that it has to read, as its senders see it: the rate, and the shortest
time of a read, most of which is spent on the way and at the senders. Rate and shortest time together are what is on the
way when the engine is just busy; whatever is sent beyond waits at the engine.
*/
export class Delivery {
	readonly #tokens = new DecayedSum(halfLifeMs);
	#shortestMs = Number.POSITIVE_INFINITY;
	#shortestBefore = Number.POSITIVE_INFINITY;
	#since = Number.NEGATIVE_INFINITY;

	/** Counts a prompt that was read. */
	onRead(tokens: number, tookMs: number, now: number): void {
		this.#tokens.add(tokens, now);
		if (now - this.#since > shortestForMs) {
			this.#shortestBefore = this.#shortestMs;
			this.#shortestMs = Number.POSITIVE_INFINITY;
			this.#since = now;
		}

		this.#shortestMs = Math.min(this.#shortestMs, tookMs);
	}

	/** Computes how many tokens may be sent and not yet read, for so long a wait at the engine, in milliseconds. */
	computeRoom(waitMs: number, now: number): number {
		const wayMs = Math.min(this.#shortestMs, this.#shortestBefore, longestWayMs);
		return this.#tokens.computeRate(now) / millisecondsPerSecond * (wayMs + waitMs);
	}
}
