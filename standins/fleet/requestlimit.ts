import type {LimitChange} from './engine.js';

/** Time after an engine first named a limit from which it has to be kept, in milliseconds. */
const contactMs = 3000;
/** Sliding window in which requests are counted, in milliseconds. */
const windowMs = 4000;
/** Multiple of what the limit allows, and further requests, that may arrive in a window. */
const allowedFactor = 1.5;
const allowedSlack = 5;

/** A window in which an engine got more requests than its limit allows. */
export type LimitBreach = {
	/** End of the window, monotonic, in milliseconds. */
	readonly at: number;
	readonly count: number;
	readonly allowed: number;
};

/**
Finds the window in which an engine got most requests beyond what its limits allowed; `undefined` when it never did. The first limit also counts for
the part of a window before it was named. Times are monotonic, in milliseconds, in ascending order.
*/
export function findLimitBreach(limits: readonly LimitChange[], arrivalTimes: readonly number[]): LimitBreach | undefined {
	const [first] = limits;
	let worst: LimitBreach | undefined;
	for (const [index, at] of arrivalTimes.entries()) {
		if (!first || at < first.from + contactMs) {
			continue;
		}

		const count = index + 1 - arrivalTimes.findIndex(time => time > at - windowMs);
		const allowed = (computeAllowedArrivals(limits, at - windowMs, at) * allowedFactor) + allowedSlack;
		if (count > allowed && count - allowed > (worst ? worst.count - worst.allowed : 0)) {
			worst = {at, count, allowed};
		}
	}

	return worst;
}

/** Computes the integral of the limits over a time; infinite when none held for a part of it. */
function computeAllowedArrivals(limits: readonly LimitChange[], from: number, to: number): number {
	let allowed = 0;
	for (const [index, {from: limitFrom, perSecond}] of limits.entries()) {
		const start = index === 0 ? from : Math.max(from, limitFrom);
		const end = Math.min(to, limits[index + 1]?.from ?? to);
		if (end > start) {
			allowed += (end - start) * perSecond / 1000;
		}
	}

	return allowed;
}
