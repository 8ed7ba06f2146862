import {DecayedSum} from '../rates/index.js';

/** Half-life of the measured throughput, in milliseconds: about ten prefills. */
const halfLifeMs = 150;
/**
Period over which the minimum round trip is taken, in milliseconds; that of the period before counts too. It is long,
since while an engine is saturated every prefill waits there, and none shows the round trip alone.
*/
const minRoundTripPeriodMs = 30_000;
const millisecondsPerSecond = 1000;

/**
Computes how much work to have in flight to one engine, in milliseconds of its time. It measures the throughput of the
engine's prefills and their minimum round trip, as the senders see them; most of that round trip is network delay and time
at the senders. Throughput times minimum round trip is what has to be in flight to keep the engine busy; whatever is sent
beyond that waits at the engine.
*/
export class PrefillWindow {
	readonly #finishedMs = new DecayedSum(halfLifeMs);
	#minRoundTripMs = Number.POSITIVE_INFINITY;
	#previousMinRoundTripMs = Number.POSITIVE_INFINITY;
	#periodStartedAt = Number.NEGATIVE_INFINITY;

	/** Records a finished prefill of `workMs` of the engine's time that took `durationMs`, from its reservation to the sender's report. */
	onPrefill(workMs: number, durationMs: number, now: number): void {
		this.#finishedMs.add(workMs, now);
		if (now - this.#periodStartedAt > minRoundTripPeriodMs) {
			this.#previousMinRoundTripMs = this.#minRoundTripMs;
			this.#minRoundTripMs = Number.POSITIVE_INFINITY;
			this.#periodStartedAt = now;
		}

		this.#minRoundTripMs = Math.min(this.#minRoundTripMs, durationMs);
	}

	/**
	Computes how much work may be in flight if a prompt may wait at the engine for `queueMs`. `maxRoundTripMs` bounds the
	round trip: while an engine stays saturated, even its shortest one includes time in its queue.
	*/
	computeMaxMs(queueMs: number, maxRoundTripMs: number, now: number): number {
		const roundTripMs = Math.min(this.#minRoundTripMs, this.#previousMinRoundTripMs, maxRoundTripMs);
		return this.#finishedMs.computeRate(now) / millisecondsPerSecond * (roundTripMs + queueMs);
	}
}
