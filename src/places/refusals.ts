import {computeRetryAfterMs, AdaptiveThrottle} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import {formatKind, isLate} from './types.js';
import type {PlaceAsk} from './types.js';

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
	readonly #pickUnit: () => number;
	readonly #kinds = new Map<string, RefusedKind>();

	constructor(timers: TimerService, pickUnit: () => number) {
		this.#timers = timers;
		this.#pickUnit = pickUnit;
	}

	/** Throws `NotRunError` when a request of the same kind was refused just now, or most are. */
	check(ask: PlaceAsk): void {
		const kind = this.#kinds.get(formatKind(ask));
		if (!kind) {
			return;
		}

		const now = this.#timers.getNow();
		if (now - kind.refusedAt < (isLate(ask) ? lateHoldMs : onTimeHoldMs) || this.#pickUnit() >= kind.thinning.computePassShare(now)) {
			throw new NotRunError('Requests of this kind were refused just now.', {
				props: {reason: refusalReason.overload, retryAfterMs: computeRetryAfterMs(ask.deadlineMs, this.#pickUnit())},
			});
		}
	}

	/** Takes in the keeper's answer to an ask, and the part of such asks that got a place just before. */
	onAnswer(ask: PlaceAsk, isGiven: boolean, givenPart: number): void {
		const now = this.#timers.getNow();
		const kind = this.#kinds.get(formatKind(ask)) ?? {refusedAt: Number.NEGATIVE_INFINITY, thinning: new AdaptiveThrottle()};
		kind.refusedAt = isGiven ? Number.NEGATIVE_INFINITY : now;
		kind.thinning.onGrantRate(givenPart, now);
		this.#kinds.set(formatKind(ask), kind);
	}
}

type RefusedKind = {refusedAt: number; readonly thinning: AdaptiveThrottle};
