import {AdaptiveThrottle, computeRetryAfterMs, maxReturnShare} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RequestLimits} from '../requestlimits/index.js';
import type {TimerService} from '../timers/index.js';
import {formatRequestKind, isLate} from './types.js';
import type {ReservationRequest} from './types.js';

/** Time for which a refusal applies to further requests of its kind, in milliseconds. At most a few reservations end in it. */
const onTimeHoldMs = 10;
/** The same for late requests, in milliseconds; it is longer because they are granted only when no others wait. */
const lateHoldMs = 60;
/** Maximum time for which a refusal because of engines' limits applies to all requests of its service, in milliseconds. */
const maxLimitedHoldMs = 250;
const millisecondsPerSecond = 1000;

/**
Refuses requests that the slot allocator would probably refuse, without asking it, by its latest answers to requests of the
same kind. Under overload most requests are refused; this leaves the allocator's CPU time to those that it can grant.
*/
export class RecentRefusals {
	readonly #timers: TimerService;
	readonly #getRandom: () => number;
	readonly #limits: RequestLimits;
	readonly #kinds = new Map<string, KindState>();
	/** By service: until when its engines can take no request because of their limits, and when the next refused request may return. */
	readonly #limited = new Map<string, {readonly until: number; returnAt: number}>();

	constructor(timers: TimerService, getRandom: () => number, limits: RequestLimits) {
		this.#timers = timers;
		this.#limits = limits;
		this.#getRandom = getRandom;
	}

	/**
	Throws `NotRunError` when a request of the same kind was refused within its hold time, or when the kind's throttle holds
	this one back because most requests of the kind are refused.
	*/
	check(request: ReservationRequest): void {
		this.#checkLimited(request);
		const kind = this.#kinds.get(formatRequestKind(request));
		if (!kind) {
			return;
		}

		const now = this.#timers.getNow();
		if (now - kind.refusedAt < (isLate(request) ? lateHoldMs : onTimeHoldMs) || this.#getRandom() >= kind.throttle.computePassShare(now)) {
			throw new NotRunError('Refused without asking the slot allocator: it is refusing requests of this kind.', {
				props: {reason: refusalReason.overload, retryAfterMs: computeRetryAfterMs(request.deadlineMs, this.#getRandom())},
			});
		}
	}

	/** Records that a request was refused because of engines' limits. One that may not use all engines says nothing about others. */
	onLimited({service, excludedEngines}: ReservationRequest, retryAfterMs: number): void {
		if (excludedEngines.length === 0) {
			const now = this.#timers.getNow();
			this.#limited.set(service, {until: now + Math.min(retryAfterMs, maxLimitedHoldMs), returnAt: now + retryAfterMs});
		}
	}

	/** Records the allocator's answer to a request, and the grant rate of the request's kind that came with it. */
	onAnswer(request: ReservationRequest, isGranted: boolean, grantRate: number): void {
		const now = this.#timers.getNow();
		const kind = this.#kinds.get(formatRequestKind(request)) ?? {refusedAt: Number.NEGATIVE_INFINITY, throttle: new AdaptiveThrottle()};
		kind.refusedAt = isGranted ? Number.NEGATIVE_INFINITY : now;
		kind.throttle.onGrantRate(grantRate, now);
		this.#kinds.set(formatRequestKind(request), kind);
	}

	#checkLimited({service, deadlineMs}: ReservationRequest): void {
		const limited = this.#limited.get(service);
		const now = this.#timers.getNow();
		const perSecond = this.#limits.sumPerSecond(service);
		if (!limited || now >= limited.until || perSecond === 0) {
			return;
		}

		const retryAfterMs = limited.returnAt - now;
		if (retryAfterMs <= deadlineMs * maxReturnShare) {
			limited.returnAt += millisecondsPerSecond / perSecond;
		}

		throw new NotRunError('Refused without asking the slot allocator: all engines have got as many requests as their limits allow.', {
			props: {reason: refusalReason.limited, retryAfterMs},
		});
	}
}

type KindState = {refusedAt: number; readonly throttle: AdaptiveThrottle};
