import {computeRetryAfterMs, AdaptiveThrottle} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import {formatRequestKind, isLate} from './types.js';
import type {ReservationRequest} from './types.js';

/** Time for which a refusal applies to further requests of its kind, in milliseconds. At most a few reservations end in it. */
const onTimeHoldMs = 10;
/** The same for late requests, in milliseconds; it is longer because they are granted only when no others wait. */
const lateHoldMs = 60;

/**
Refuses requests that the slot allocator would probably refuse, without asking it, by its latest answers to requests of the
same kind. Under overload most requests are refused; this leaves the allocator's CPU time to those that it can grant.
*/
export class RecentRefusals {
	readonly #timers: TimerService;
	readonly #getRandom: () => number;
	readonly #kinds = new Map<string, KindState>();

	constructor(timers: TimerService, getRandom: () => number) {
		this.#timers = timers;
		this.#getRandom = getRandom;
	}

	/**
	Throws `NotRunError` when a request of the same kind was refused within its hold time, or when the kind's throttle holds
	this one back because most requests of the kind are refused.
	*/
	check(request: ReservationRequest): void {
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

	/** Records the allocator's answer to a request, and the grant rate of the request's kind that came with it. */
	onAnswer(request: ReservationRequest, isGranted: boolean, grantRate: number): void {
		const now = this.#timers.getNow();
		const kind = this.#kinds.get(formatRequestKind(request)) ?? {refusedAt: Number.NEGATIVE_INFINITY, throttle: new AdaptiveThrottle()};
		kind.refusedAt = isGranted ? Number.NEGATIVE_INFINITY : now;
		kind.throttle.onGrantRate(grantRate, now);
		this.#kinds.set(formatRequestKind(request), kind);
	}
}

type KindState = {refusedAt: number; readonly throttle: AdaptiveThrottle};
