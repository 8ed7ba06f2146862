/** Asks for each place that is given, under overload: enough that the line never runs dry, whatever their chance. */
const requestsPerGrant = 1.3;
/** Pause between two changes of the part that asks, in milliseconds: the answers to the part before have to come first. */
const updateIntervalMs = 100;
/** Time without an answer after which more ask again, in milliseconds: under overload an entry has several in it. */
const recoveryDelayMs = 250;
/** Time in which the part that asks doubles then, in milliseconds: an overload's end is noticed soon. */
const recoveryDoublingMs = 100;
/** Least part that asks: some have to, to see whether places are free again. */
const minPassShare = 0.03;

/**
Decides which requests of one kind ask for a place while most are refused. Each answer tells which part of the asks
got a place; so many ask that a third more do than there are places.
*/
export class AdaptiveThrottle {
	#passShare = 1;
	#changedAt = Number.NEGATIVE_INFINITY;

	/** Takes in the part of the asks that got a place just before `now`, in milliseconds. */
	onGrantRate(grantRate: number, now: number): void {
		if (now - this.#changedAt >= updateIntervalMs) {
			this.#passShare = Math.max(minPassShare, Math.min(1, this.computePassShare(now) * grantRate * requestsPerGrant));
			this.#changedAt = now;
		}
	}

	/** Computes the part of the requests that ask at `now`, 0 to 1. */
	computePassShare(now: number): number {
		return this.#passShare === 1 ? 1 : Math.min(1, this.#passShare * (2 ** (Math.max(0, now - this.#changedAt - recoveryDelayMs) / recoveryDoublingMs)));
	}
}
