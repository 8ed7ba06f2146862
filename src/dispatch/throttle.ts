/** Reservation requests to send for each grant under overload: above 1, so that the queue never runs empty whatever the grant rate. */
const requestsPerGrant = 1.3;
/** Minimum time between two changes of the share, in milliseconds: the answers to requests sent at the previous share have to come first. */
const updateIntervalMs = 100;
/** Time without an answer after which the share grows again, in milliseconds: under overload an entry gets several answers in it. */
const recoveryDelayMs = 250;
/** Time in which the share then doubles, in milliseconds: short, so that the end of an overload is noticed soon. */
const recoveryDoublingMs = 80;
/** Minimum share: some requests have to be sent to find out whether capacity is free again. */
const minPassShare = 0.03;

/**
Client-side throttle for the reservation requests of one kind while most of them are refused. Each answer carries the
grant rate, and the share of requests to send follows it: about a third more are sent than can be granted.
*/
export class AdaptiveThrottle {
	#passShare = 1;
	#changedAt = Number.NEGATIVE_INFINITY;

	/** Updates the share by the grant rate that an answer carried, 0 to 1; `now` is in milliseconds. */
	onGrantRate(grantRate: number, now: number): void {
		if (now - this.#changedAt >= updateIntervalMs) {
			this.#passShare = Math.max(minPassShare, Math.min(1, this.computePassShare(now) * grantRate * requestsPerGrant));
			this.#changedAt = now;
		}
	}

	/** Computes the share of requests to send at `now`, 0 to 1; the others should be refused without asking the allocator. */
	computePassShare(now: number): number {
		return this.#passShare === 1 ? 1 : Math.min(1, this.#passShare * (2 ** (Math.max(0, now - this.#changedAt - recoveryDelayMs) / recoveryDoublingMs)));
	}
}
