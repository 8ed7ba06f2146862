/** Maximum number of extra sends that may be saved up: more would come in a burst when engines slow down together. */
const maxSavedSends = 3;
/** Time reserved for the loser of an extra send, relative to what is expected of it, if that much is left: the second engine may be slow as well. */
const maxReserveFactor = 2;
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

	/** Tells whether the account covers one more extra send, whose loser is expected to work for `loserMs`. */
	isCovered(loserMs: number): boolean {
		return this.#sends >= 1 && this.#timeMs - this.#reservedMs >= loserMs;
	}

	/** Takes one extra send that is covered. Returns the time that its loser may work at most, in milliseconds. */
	take(loserMs: number): number {
		const reservedMs = Math.min(loserMs * maxReserveFactor, this.#timeMs - this.#reservedMs);
		this.#sends--;
		this.#reservedMs += reservedMs;
		return reservedMs;
	}

	/** Charges the time that the loser of an extra send worked, for which `reservedMs` was reserved. */
	settle(reservedMs: number, workedMs: number): void {
		this.#reservedMs -= reservedMs;
		this.#timeMs -= workedMs;
	}
}
