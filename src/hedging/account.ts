/** Maximum number of extra sends that may be saved up: more would come in a burst when engines slow down together. */
const maxSavedSends = 3;
/** Weight of the newest request in the mean time of a request. */
const meanWeight = 0.05;

/**
Account of extra work. Each request earns the configured share of one send, and its time at an engine the same share of that time; an extra
send costs one send and the time that the losing engine worked. Both have to be covered before the send, so that neither share is exceeded.
What is saved up beyond a few sends is lost.
*/
export class WorkAccount {
	readonly #share: number;
	#sends = 0;
	#timeMs = 0;
	#meanMs = 0;
	#reservedMs = 0;

	/** Takes the share of extra work, 0 to 1. */
	constructor(share: number) {
		this.#share = share;
	}

	/** Fullness of the account, 0 to 1. */
	get fill(): number {
		return Math.max(0, Math.min(this.#sends / maxSavedSends, this.#timeMs / this.#maxTimeMs, 1));
	}

	get #maxTimeMs(): number {
		return Math.max(1, this.#meanMs * maxSavedSends * 2);
	}

	/** Earns what a request allows that was answered after `timeMs` at its engine. */
	addRequest(timeMs: number): void {
		this.#meanMs += (timeMs - this.#meanMs) * (this.#meanMs === 0 ? 1 : meanWeight);
		this.#sends = Math.min(maxSavedSends, this.#sends + this.#share);
		this.#timeMs = Math.min(this.#maxTimeMs, this.#timeMs + (timeMs * this.#share));
	}

	/** Takes one extra send whose loser is expected to work for `loserMs`; returns whether the account covers it. */
	tryTake(loserMs: number): boolean {
		if (this.#sends < 1 || this.#timeMs - this.#reservedMs < loserMs) {
			return false;
		}

		this.#sends--;
		this.#reservedMs += loserMs;
		return true;
	}

	/** Charges the time that the loser of an extra send worked, for which `loserMs` was reserved. May leave a debt, which later requests pay first. */
	settle(loserMs: number, workedMs: number): void {
		this.#reservedMs -= loserMs;
		this.#timeMs -= workedMs;
	}
}
