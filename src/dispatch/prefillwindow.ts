import {DecayedSum} from '../rates/index.js';

/** Half-life of the measured rate, in milliseconds: some ten reads. */
const halfLifeMs = 150;
/** Time for which the shortest read counts, in milliseconds: while an engine is full all reads wait, and none tells the way alone. */
const minRoundTripPeriodMs = 30_000;
/** Longest way that is allowed for, in milliseconds: half of a short target. */
const maxRoundTripMs = 60;
const millisecondsPerSecond = 1000;

/**
Measures what one engine delivers of the prompts that it has to read, as its senders see it: the rate, and the shortest
time of a read, most of which is spent on the way and at the senders. Rate and shortest time together are what is on the
way when the engine is just busy; whatever is sent beyond waits at the engine.
*/
export class PrefillWindow {
	readonly #prefilledTokens = new DecayedSum(halfLifeMs);
	#minRoundTripMs = Number.POSITIVE_INFINITY;
	#previousMinRoundTripMs = Number.POSITIVE_INFINITY;
	#periodStartedAt = Number.NEGATIVE_INFINITY;

	/** Counts a prompt that was read. */
	onPrefill(tokens: number, durationMs: number, now: number): void {
		this.#prefilledTokens.add(tokens, now);
		if (now - this.#periodStartedAt > minRoundTripPeriodMs) {
			this.#previousMinRoundTripMs = this.#minRoundTripMs;
			this.#minRoundTripMs = Number.POSITIVE_INFINITY;
			this.#periodStartedAt = now;
		}

		this.#minRoundTripMs = Math.min(this.#minRoundTripMs, durationMs);
	}

	/** Computes how many tokens may be sent and not yet read, for so long a wait at the engine, in milliseconds. */
	computeMaxTokens(queueMs: number, now: number): number {
		const roundTripMs = Math.min(this.#minRoundTripMs, this.#previousMinRoundTripMs, maxRoundTripMs);
		return this.#prefilledTokens.computeRate(now) / millisecondsPerSecond * (roundTripMs + queueMs);
	}
}
