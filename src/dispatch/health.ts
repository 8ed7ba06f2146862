/** How a request ended, as far as it tells of the engine's health. */
export const engineOutcome = {
	answered: 'answered',
	failed: 'failed',
	refused: 'refused',
	silent: 'silent',
	broken: 'broken',
	unreachable: 'unreachable',
	otherEngine: 'other_engine',
} as const;

/** See {@link engineOutcome}. */
export type EngineOutcome = (typeof engineOutcome)[keyof typeof engineOutcome];

/** Weight of the newest sign in the share of failures. */
const outcomeWeight = 0.1;
/** Silent or broken answers in a row after which an engine gets no work: a single one may be the connection's. */
const failuresToSuspect = 2;
/** First pause of an engine that gets no work, in milliseconds; it doubles with each further failure. */
const minBackoffMs = 400;
/** Longest pause, in milliseconds; an engine that is back gets work again within it. */
const maxBackoffMs = 3000;

/**
Tells from requests whether an engine should get work. After failures in a row it pauses; when the pause is over one
request at a time tries it, until one is answered.
*/
export class EngineHealth {
	/** Share of recent requests that failed or were refused, 0 to 1. */
	failureShare = 0;
	#consecutiveFailures = 0;
	#backoffMs = 0;
	#backoffUntil = 0;
	#isProbing = false;

	/** Whether the engine gets only a trial request, if any. */
	get isSuspect(): boolean {
		return this.#backoffMs > 0;
	}

	/** Takes in how a request ended at `now`, in monotonic milliseconds. */
	onOutcome(outcome: EngineOutcome, now: number): void {
		const isSuccess = outcome === engineOutcome.answered;
		const isResponsive = isSuccess || outcome === engineOutcome.failed || outcome === engineOutcome.refused;
		this.failureShare += ((isSuccess ? 0 : 1) - this.failureShare) * outcomeWeight;
		this.#isProbing = false;
		if (isResponsive) {
			this.#consecutiveFailures = 0;
			this.#backoffMs = 0;
			return;
		}

		this.#consecutiveFailures++;
		const isDefinite = outcome === engineOutcome.unreachable || outcome === engineOutcome.otherEngine;
		if ((isDefinite || this.#consecutiveFailures >= failuresToSuspect) && now >= this.#backoffUntil) {
			this.#backoffMs = this.#backoffMs === 0 ? minBackoffMs : Math.min(maxBackoffMs, this.#backoffMs * 2);
			this.#backoffUntil = now + this.#backoffMs;
		}
	}

	/** Notes that a request ended without telling anything of the engine. */
	onInconclusive(): void {
		this.#isProbing = false;
	}

	/** Whether the engine may get a request at `now`. */
	isAvailable(now: number): boolean {
		return this.#backoffMs === 0 || (now >= this.#backoffUntil && !this.#isProbing);
	}

	/** Notes that a request was sent; a suspect engine gets no second one until it ends. */
	onSend(): void {
		this.#isProbing = this.#backoffMs > 0;
	}
}
