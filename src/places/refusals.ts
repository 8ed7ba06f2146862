import {computeReturnAfterMs, isLong} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
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
	readonly #refusedAt = new Map<string, number>();

	constructor(timers: TimerService, pickUnit: () => number) {
		this.#timers = timers;
		this.#pickUnit = pickUnit;
	}

	/** Throws `NotRunError` when a request of the same kind was refused just now. */
	check(ask: PlaceAsk): void {
		const refusedAt = this.#refusedAt.get(formatKind(ask)) ?? Number.NEGATIVE_INFINITY;
		if (this.#timers.getNow() - refusedAt < (isLate(ask) ? lateHoldMs : onTimeHoldMs)) {
			throw new NotRunError('Requests of this kind were refused just now.', {
				props: {reason: refusalReason.overload, retryAfterMs: computeReturnAfterMs(ask.deadlineMs, this.#pickUnit())},
			});
		}
	}

	/** Notes that the keeper refused a request for want of places. */
	onRefusal(ask: PlaceAsk): void {
		this.#refusedAt.set(formatKind(ask), this.#timers.getNow());
	}

	/** Notes that the keeper gave a place. */
	onPlace(ask: PlaceAsk): void {
		this.#refusedAt.delete(formatKind(ask));
	}
}

function formatKind(ask: PlaceAsk): string {
	return `${ask.service} ${isLong(ask) ? 'long' : 'short'} ${isLate(ask) ? 'late' : 'on time'}`;
}

function isLate(ask: PlaceAsk): boolean {
	return ask.targetMs < ask.serviceMs;
}
