import {computeReturnAfterMs, Thinning} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import {formatRequestKind, isLate} from './types.js';
import type {ReservationRequest} from './types.js';

/** Time for which a refusal holds for requests of its kind, in milliseconds: a few places come free in it at the most. */
const onTimeHoldMs = 10;
/** The same for late requests, which get a place only when no others wait. */
const lateHoldMs = 60;

/**
Refuses requests at once that the keeper would refuse, by what it refused of their kind just now. Under overload most
asks end so; the keeper's processor is then free for those that it gives places to.
*/
export class RecentRefusals {
	readonly #timers: TimerService;
	readonly #getRandom: () => number;
	readonly #kinds = new Map<string, KindState>();

	constructor(timers: TimerService, getRandom: () => number) {
		this.#timers = timers;
		this.#getRandom = getRandom;
	}

	/** Throws `NotRunError` when a request of the same kind was refused just now, or most are. */
	check(request: ReservationRequest): void {
		const kind = this.#kinds.get(formatRequestKind(request));
		if (!kind) {
			return;
		}

		const now = this.#timers.getNow();
		if (now - kind.refusedAt < (isLate(request) ? lateHoldMs : onTimeHoldMs) || this.#getRandom() >= kind.throttle.computePart(now)) {
			throw new NotRunError('Requests of this kind were refused just now.', {
				props: {reason: refusalReason.overload, retryAfterMs: computeReturnAfterMs(request.deadlineMs, this.#getRandom())},
			});
		}
	}

	/** Takes in the keeper's answer to an ask, and the part of such asks that got a place just before. */
	onAnswer(request: ReservationRequest, isGranted: boolean, grantRate: number): void {
		const now = this.#timers.getNow();
		const kind = this.#kinds.get(formatRequestKind(request)) ?? {refusedAt: Number.NEGATIVE_INFINITY, throttle: new Thinning()};
		kind.refusedAt = isGranted ? Number.NEGATIVE_INFINITY : now;
		kind.throttle.onGivenPart(grantRate, now);
		this.#kinds.set(formatRequestKind(request), kind);
	}
}

type KindState = {refusedAt: number; readonly throttle: Thinning};
