import {WorkAccount} from './account.js';
import {TimeQuantiles} from './quantiles.js';

/** Number of measured times of a route below which its quantiles say too little. */
const minTimes = 20;
/** Maximum number of routes whose times are kept; the configuration has a few dozen. */
const maxRoutes = 200;
/** Bounds of the share of requests that take longer than the quantile, as multiples of the configured share. */
const minRateFactor = 0.1;
const maxRateFactor = 4;
/** Largest share of requests that count as slow. */
const maxRate = 0.3;
/** Change of that share with each request while the account is full; it falls as fast while the account is empty. */
const rateStep = 0.05;
/** Fullness of the account at which the share of slow requests stays as it is. */
const balancedFill = 0.4;

/** Time after which a slow request is looked at again when no extra send was made for it, relative to the time that it has taken. */
const recheckShare = 0.25;
/** Minimum of that time, in milliseconds. */
const minRecheckMs = 5;

/** Counts of extra sends since the start. */
export type ExtraSendCounts = {
	/** Requests that were answered, whose times are measured. */
	readonly requests: number;
	/** Time of their answers at their engines, in milliseconds. */
	readonly timeMs: number;
	readonly sent: number;
	/** Extra sends that answered first. */
	readonly won: number;
	/** Time that losers worked, in milliseconds. */
	readonly extraMs: number;
};

/** An extra send that is charged to the account until it ends. */
export type OpenExtraSend = {
	/** Time after which it has to be ended unless it is the only one left, in milliseconds: longer work of either engine is not covered. */
	readonly maxMs: number;
	/** Ends it; `extraMs` is the time that the loser worked, in milliseconds. */
	readonly finish: (isWon: boolean, extraMs: number) => void;
};

/**
Decides when a slow request is also sent to a second engine, so that the configured share of extra work is just spent and never exceeded.

A request counts as slow when it takes longer, relative to the time expected of its engine by speed and load, than a quantile of the
measured times of its route. The quantile follows the account: it falls while work is left and rises while none is.

Made for entries that see two calls a second of 43 ms mean each, of which one in a hundred takes five times as long and some 15% meet a
machine that is 2.5 times as slow: with a share of 2%, an entry makes about one extra send in 25 s.
*/
export class ExtraSends {
	readonly #share: number;
	readonly #account: WorkAccount;
	/** Times by route, the least recently measured first. */
	readonly #times = new Map<string, TimeQuantiles>();
	/** Share of requests that count as slow. */
	#rate: number;
	readonly #counts = {
		requests: 0, timeMs: 0, sent: 0, won: 0, extraMs: 0,
	};

	/** Takes the share of extra work, above 0 up to 0.1. */
	constructor(share: number) {
		this.#share = share;
		this.#rate = share;
		this.#account = new WorkAccount(share);
	}

	get counts(): ExtraSendCounts {
		return this.#counts;
	}

	/** Computes the share of extra work spent since the start: of sends or of engines' time, whichever is larger. */
	computeSpentShare(): number {
		const {requests, timeMs, sent, extraMs} = this.#counts;
		return requests === 0 ? 0 : Math.max(sent / requests, extraMs / Math.max(1, timeMs));
	}

	/** Records that a request of a route was answered `tookMs` after its send to an engine, of which `expectedMs` was expected. */
	onAnswer(route: string, tookMs: number, expectedMs: number): void {
		this.#counts.requests++;
		this.#counts.timeMs += tookMs;
		this.#account.addRequest(tookMs);
		const step = rateStep * (this.#account.fill - balancedFill) / balancedFill;
		this.#rate = Math.min(maxRate, this.#share * maxRateFactor, Math.max(this.#share * minRateFactor, this.#rate * (1 + step)));
		const times = this.#times.get(route) ?? new TimeQuantiles();
		times.add(tookMs / Math.max(1, expectedMs));
		this.#times.delete(route);
		this.#times.set(route, times);
		const [leastRecent] = this.#times.keys();
		if (this.#times.size > maxRoutes && leastRecent !== undefined) {
			this.#times.delete(leastRecent);
		}
	}

	/** Computes the time after its send from which a request counts as slow, in milliseconds; `undefined` where too few were measured. */
	computeDelayMs(route: string, expectedMs: number): number | undefined {
		const times = this.#times.get(route);
		if (!times || times.count < minTimes) {
			return undefined;
		}

		const delayMs = times.computeExceededBy(this.#rate) * Math.max(1, expectedMs);
		return Number.isFinite(delayMs) ? delayMs : undefined;
	}

	/** Computes the time after which a slow request that has taken `elapsedMs` is looked at again, in milliseconds: the longer it has taken, the longer it is likely to take. */
	computeRecheckMs(elapsedMs: number): number {
		return Math.max(minRecheckMs, elapsedMs * recheckShare);
	}

	/** Tells whether an engine of which `furtherMs` is expected answers sooner than one that has worked for `elapsedMs` on a request of which `expectedMs` was expected. */
	isSooner(route: string, {elapsedMs, expectedMs, furtherMs}: {readonly elapsedMs: number; readonly expectedMs: number; readonly furtherMs: number}): boolean {
		const usualMs = Math.max(1, expectedMs);
		return furtherMs < (this.#times.get(route)?.estimateRest(elapsedMs / usualMs) ?? 0) * usualMs;
	}

	/** Tells whether the account covers an extra send whose loser is expected to work for `loserMs`. */
	isCovered(loserMs: number): boolean {
		return this.#account.isCovered(loserMs);
	}

	/** Charges an extra send that is covered to the account, for a request that has taken `elapsedMs`. */
	start(loserMs: number, elapsedMs: number): OpenExtraSend {
		const reservedMs = this.#account.take(loserMs);
		this.#counts.sent++;
		let isOpen = true;
		return {
			maxMs: reservedMs - elapsedMs,
			finish: (isWon, extraMs) => {
				if (isOpen) {
					isOpen = false;
					this.#counts.won += isWon ? 1 : 0;
					this.#counts.extraMs += extraMs;
					this.#account.settle(reservedMs, extraMs);
				}
			},
		};
	}
}
