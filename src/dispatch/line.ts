import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';

/** A request that waits for a place; times are monotonic, in milliseconds. */
export type Waiting = {
	/** Until then its answer is on time. */
	readonly targetAt: number;
	/** Until then its answer is of use. */
	readonly deadlineAt: number;
	/** When it began to wait. */
	readonly since: number;
	/** Rank of its kind; 0 is the most urgent. */
	readonly priority: number;
	/** Time from a place to the first byte of an answer. */
	readonly serviceMs: number;
	/** The caller was refused before. */
	readonly isReturn: boolean;
	/** Requests of one group find a place or none alike. */
	readonly group: string;
};

type Entry<Place> = {
	readonly waiting: Waiting;
	readonly tryPlace: (now: number) => Place | undefined;
	readonly resolve: (place: Place) => void;
	readonly reject: (error: Error) => void;
};

/** Requests of one service that may wait in one line, whatever they expect. */
const longestLine = 256;
/** Part of the time left that a late request may wait; the rest is for its engine and for coming back. */
const lateShare = 0.3;
/** Pause between two looks at the line when no place becomes free, in milliseconds. */
const lookMs = 5;
/** Least time to come back, in milliseconds: a place is not free sooner after a refusal. */
const leastReturnMs = 50;
/** Pause between two places given from the line that is assumed before one was measured, in milliseconds. */
const assumedPaceMs = 5;
/** Weight of the newest pause between two places. */
const paceWeight = 0.05;

/**
Requests of one service that wait for a place at an engine. Those that can still be on time go first, the earliest
target before the others; late ones take what is left. At the pace at which places come free, a request that would be
late even so, or would wait too long as a late one, is refused at once with a time to come back.
*/
export class WaitingLine<Place> {
	readonly #timers: TimerService;
	readonly #pickUnit: () => number;
	readonly #entries = new Set<Entry<Place>>();
	#timer: Timer | undefined;
	#paceMs = assumedPaceMs;
	#lastPlaceAt: number | undefined;

	constructor(timers: TimerService, pickUnit: () => number) {
		this.#timers = timers;
		this.#pickUnit = pickUnit;
	}

	/** Number of requests that wait. */
	get size(): number {
		return this.#entries.size;
	}

	/** Waits for a place; throws `NotRunError` when the request is refused instead, or `signal` is aborted. */
	async wait(waiting: Waiting, tryPlace: (now: number) => Place | undefined, signal: AbortSignal): Promise<Place> {
		const now = this.#timers.getNow();
		if (now + waiting.serviceMs >= waiting.deadlineAt) {
			throw this.#createRefusal(waiting, now, refusalReason.deadline);
		}

		const ahead = this.#countAhead(waiting, now);
		if (ahead === 0) {
			const place = tryPlace(now);
			if (place !== undefined) {
				return place;
			}
		}

		if (this.#entries.size >= longestLine) {
			throw this.#createRefusal(waiting, now, refusalReason.queueFull);
		}

		const expectedMs = (ahead + 1) * this.#paceMs;
		if (!isOnTimeAt(waiting, now + expectedMs) && isOverdue(waiting, now + expectedMs)) {
			throw this.#createRefusal(waiting, now, refusalReason.deadline);
		}

		return new Promise<Place>((resolve, reject) => {
			const entry: Entry<Place> = {
				waiting, tryPlace, resolve, reject,
			};
			signal.addEventListener('abort', () => {
				this.#entries.delete(entry);
				reject(new NotRunError('Given up while waiting for a place.', {props: {reason: refusalReason.deadline}}));
			}, {once: true});
			this.#entries.add(entry);
			this.#lastPlaceAt ??= now;
			this.#startTimer();
		});
	}

	/** Gives places to those whose turn it is; called when a place may have become free. */
	serve(): void {
		if (this.#entries.size === 0) {
			return;
		}

		const now = this.#timers.getNow();
		const sorted = [...this.#entries].sort((left, right) => compareTurns(left.waiting, right.waiting, now));
		const withoutPlace = new Set<string>();
		for (const [index, entry] of sorted.entries()) {
			const {group} = entry.waiting;
			const place = withoutPlace.has(group) ? undefined : entry.tryPlace(now);
			if (place === undefined) {
				withoutPlace.add(group);
				this.#refuseOverdue(entry, index, now);
			} else {
				this.#entries.delete(entry);
				this.#onPlace(now);
				entry.resolve(place);
			}
		}

		if (this.#entries.size > 0) {
			this.#startTimer();
		} else {
			this.#lastPlaceAt = undefined;
		}
	}

	#startTimer(): void {
		this.#timer ??= this.#timers.startTimer(lookMs, () => {
			this.#timer = undefined;
			this.serve();
		});
	}

	#countAhead(waiting: Waiting, now: number): number {
		let ahead = 0;
		for (const entry of this.#entries) {
			if (compareTurns(entry.waiting, waiting, now) <= 0) {
				ahead++;
			}
		}

		return ahead;
	}

	#onPlace(now: number): void {
		if (this.#lastPlaceAt !== undefined) {
			this.#paceMs += (now - this.#lastPlaceAt - this.#paceMs) * paceWeight;
		}

		this.#lastPlaceAt = now;
	}

	/** Refuses a late request that has waited for its part of the time, or would by the time of its turn. */
	#refuseOverdue(entry: Entry<Place>, ahead: number, now: number): void {
		if (!isOnTimeAt(entry.waiting, now) && isOverdue(entry.waiting, now + (ahead * this.#paceMs))) {
			this.#entries.delete(entry);
			entry.reject(this.#createRefusal(entry.waiting, now, refusalReason.deadline));
		}
	}

	#createRefusal(waiting: Waiting, now: number, reason: RefusalReason): Error {
		const left = Math.max(0, waiting.deadlineAt - now);
		// Spread over the third of the time left that callers honour, so that those refused together come back apart.
		const retryAfterMs = Math.max(leastReturnMs, Math.round(left / 3 * (0.5 + (0.5 * this.#pickUnit()))));
		return new NotRunError('No engine has a place in time.', {props: {reason, retryAfterMs}});
	}
}

/** Compares whose turn comes first: requests that can be on time by their target, then late ones by their deadline. */
export function compareTurns(left: Waiting, right: Waiting, now: number): number {
	const isLeftOnTime = isOnTimeAt(left, now);
	if (isLeftOnTime !== isOnTimeAt(right, now)) {
		return isLeftOnTime ? -1 : 1;
	}

	return isLeftOnTime ? left.targetAt - right.targetAt : left.deadlineAt - right.deadlineAt;
}

/** Tells whether a request that gets its place at `at` is answered on time. */
export function isOnTimeAt(waiting: Waiting, at: number): boolean {
	return at + waiting.serviceMs <= waiting.targetAt;
}

/** Tells whether a request at `at` has waited for its part of the time that its caller gives it. */
export function isOverdue(waiting: Waiting, at: number): boolean {
	return at > waiting.since + ((waiting.deadlineAt - waiting.since) * lateShare);
}
