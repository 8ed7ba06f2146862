/** How a send to an engine ended, as far as it tells of the engine's health. */
export const engineOutcome = {
	/** The engine answered successfully. */
	answered: 'answered',
	/** The engine answered with a failure. */
	failed: 'failed',
	/** The engine answered that it did not run the request. */
	refused: 'refused',
	/** No byte came in time; the answer may still come. */
	silent: 'silent',
	/** The answer broke off, or was for another request. */
	broken: 'broken',
	/** The answer broke off before its body, and the engine no longer accepts connections. */
	crashed: 'crashed',
	/** The same within the body. */
	crashedInAnswer: 'crashed_in_answer',
	/** The request could not be sent. */
	unreachable: 'unreachable',
	/** Another engine answered at the address. */
	otherEngine: 'other_engine',
} as const;

/** See {@link engineOutcome}. */
export type EngineOutcome = (typeof engineOutcome)[keyof typeof engineOutcome];

/** Tells whether an outcome shows that the engine's process answers. */
export function isSignOfLife(outcome: EngineOutcome | undefined): boolean {
	return outcome === engineOutcome.answered || outcome === engineOutcome.failed || outcome === engineOutcome.refused;
}

/** Weight of the newest outcome in the failure share. */
const outcomeWeight = 0.1;
/** Consecutive silent or broken answers after which an engine is suspect: a single one may be the connection's fault. */
const failuresToSuspect = 2;
/** First backoff of a suspect engine, in milliseconds; it doubles with each further failure that is no silence. */
const minBackoffMs = 400;
/** Maximum backoff, in milliseconds: an engine that has recovered gets requests again within it. */
const maxBackoffMs = 3000;

/**
Circuit breaker for one engine. Failures make the engine suspect: it gets no requests for a backoff, and then one trial
request at a time until it responds.
*/
export class EngineHealth {
	/** Share of recent requests that were not answered successfully, 0 to 1; newer ones weigh more. */
	failureShare = 0;
	#consecutiveFailures = 0;
	#backoffMs = 0;
	#backoffUntil = 0;
	#isProbing = false;
	/** Whether the latest failure was a silence, which a sound engine ends by itself. */
	#isSilent = false;

	/** Whether the engine gets no requests, or trial requests only. */
	get isSuspect(): boolean {
		return this.#backoffMs > 0;
	}

	/** Updates the health by the outcome of a request at `now`, in monotonic milliseconds. A silence is recorded when it is noticed, which ends no request. */
	onOutcome(outcome: EngineOutcome, now: number): void {
		const isSuccess = outcome === engineOutcome.answered;
		this.failureShare += ((isSuccess ? 0 : 1) - this.failureShare) * outcomeWeight;
		this.#isProbing = false;
		if (isSignOfLife(outcome)) {
			this.#consecutiveFailures = 0;
			this.#backoffMs = 0;
			this.#isSilent = false;
			return;
		}

		this.#isSilent = outcome === engineOutcome.silent;
		this.#consecutiveFailures++;
		const isDefinite = outcome === engineOutcome.unreachable || outcome === engineOutcome.otherEngine;
		if ((isDefinite || this.#consecutiveFailures >= failuresToSuspect) && now >= this.#backoffUntil) {
			// A silence usually ends soon, so that waiting for longer after each would leave a sound engine unused.
			this.#backoffMs = this.#backoffMs === 0 || this.#isSilent ? minBackoffMs : Math.min(maxBackoffMs, this.#backoffMs * 2);
			this.#backoffUntil = now + this.#backoffMs;
		}
	}

	/** Records at `now` that the engine sends again after a silence: it gets a trial request at once, and all requests again once it has answered one. */
	onResume(now: number): void {
		this.#isSilent = false;
		this.#isProbing = false;
		this.#consecutiveFailures = 0;
		this.#backoffUntil = Math.min(this.#backoffUntil, now);
	}

	/** Computes the time after which a silent engine may get a request, in milliseconds; 0 when it may get one now, infinite when it is suspect for another reason. */
	computeSilenceLeftMs(now: number): number {
		if (this.isAvailable(now)) {
			return 0;
		}

		return this.#isSilent ? Math.max(0, this.#backoffUntil - now) : Number.POSITIVE_INFINITY;
	}

	/** Records that a request ended without telling anything of the engine, such as when its caller left. */
	onInconclusive(): void {
		this.#isProbing = false;
	}

	/** Tells whether the engine may get a request at `now`. */
	isAvailable(now: number): boolean {
		return this.#backoffMs === 0 || (now >= this.#backoffUntil && !this.#isProbing);
	}

	/** Records that a request was sent; a suspect engine gets no second one until it ends. */
	onSend(): void {
		this.#isProbing = this.#backoffMs > 0;
	}
}
