/** How a request ended, as far as it tells of the engine's health. */
export const engineSign = {
	answered: 'answered',
	failed: 'failed',
	refused: 'refused',
	silent: 'silent',
	broken: 'broken',
	unreachable: 'unreachable',
	otherEngine: 'other_engine',
} as const;

/** See {@link engineSign}. */
export type EngineSign = (typeof engineSign)[keyof typeof engineSign];

/** Weight of the newest sign in the share of failures. */
const signWeight = 0.1;
/** Silent or broken answers in a row after which an engine gets no work: a single one may be the connection's. */
const tolerated = 2;
/** First pause of an engine that gets no work, in milliseconds; it doubles with each further failure. */
const firstPauseMs = 400;
/** Longest pause, in milliseconds; an engine that is back gets work again within it. */
const longestPauseMs = 3000;

/**
Tells from requests whether an engine should get work. After failures in a row it pauses; when the pause is over one
request at a time tries it, until one is answered.
*/
export class EngineHealth {
	/** Share of recent requests that failed or were refused, 0 to 1. */
	failureShare = 0;
	#inRow = 0;
	#pauseMs = 0;
	#pausedUntil = 0;
	#isTrying = false;

	/** Whether the engine gets only a trial request, if any. */
	get isSuspect(): boolean {
		return this.#pauseMs > 0;
	}

	/** Takes in how a request ended at `now`, in monotonic milliseconds. */
	onSign(sign: EngineSign, now: number): void {
		const isGood = sign === engineSign.answered;
		const isAlive = isGood || sign === engineSign.failed || sign === engineSign.refused;
		this.failureShare += ((isGood ? 0 : 1) - this.failureShare) * signWeight;
		this.#isTrying = false;
		if (isAlive) {
			this.#inRow = 0;
			this.#pauseMs = 0;
			return;
		}

		this.#inRow++;
		const isCertain = sign === engineSign.unreachable || sign === engineSign.otherEngine;
		if ((isCertain || this.#inRow >= tolerated) && now >= this.#pausedUntil) {
			this.#pauseMs = this.#pauseMs === 0 ? firstPauseMs : Math.min(longestPauseMs, this.#pauseMs * 2);
			this.#pausedUntil = now + this.#pauseMs;
		}
	}

	/** Notes that a request ended without telling anything of the engine. */
	onGivenUp(): void {
		this.#isTrying = false;
	}

	/** Whether the engine may get a request at `now`. */
	isOpen(now: number): boolean {
		return this.#pauseMs === 0 || (now >= this.#pausedUntil && !this.#isTrying);
	}

	/** Notes that a request was sent; a suspect engine gets no second one until it ends. */
	onSend(): void {
		this.#isTrying = this.#pauseMs > 0;
	}
}
