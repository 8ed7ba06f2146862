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
	/** Time from a place to the first byte of an answer when the engine is not busy. */
	readonly serviceMs: number;
};

type Entry<Place> = {
	readonly waiting: Waiting;
	readonly tryPlace: (now: number) => Place | undefined;
	readonly resolve: (place: Place) => void;
	readonly reject: (error: Error) => void;
};

/** Requests of one service that may wait in one process: more would all be late by the time they are served. */
const longestLine = 128;
/** Part of the time left that a late request may wait; the rest is for its engine and for coming back. */
const lateShare = 0.3;
/** Pause between looks for places that other entries' requests left, in milliseconds. */
const lookMs = 4;
/** Least time to come back, in milliseconds: a place is not free sooner after a refusal. */
const leastReturnMs = 50;

/**
Requests of one service that wait for a place at an engine. Those that can still be on time go first, the earliest
target before the others; late ones take what is left. A request that can't be served before its deadline, or that
has waited for its part of it, is refused at once with a time to come back.
*/
export class WaitingLine<Place> {
	readonly #timers: TimerService;
	readonly #pickUnit: () => number;
	readonly #entries = new Set<Entry<Place>>();
	#timer: Timer | undefined;

	constructor(timers: TimerService, pickUnit: () => number) {
		this.#timers = timers;
		this.#pickUnit = pickUnit;
	}

	/** Number of requests that wait. */
	get size(): number {
		return this.#entries.size;
	}

	/** Waits for a place; throws `NotRunError` when the request is refused instead, or the caller has gone. */
	async wait(waiting: Waiting, tryPlace: (now: number) => Place | undefined, signal: AbortSignal): Promise<Place> {
		const now = this.#timers.getNow();
		if (now + waiting.serviceMs >= waiting.deadlineAt) {
			throw this.#createRefusal(waiting, now, refusalReason.deadline);
		}

		if (!this.#hasEarlier(waiting, now)) {
			const place = tryPlace(now);
			if (place !== undefined) {
				return place;
			}
		}

		return new Promise<Place>((resolve, reject) => {
			const entry: Entry<Place> = {waiting, tryPlace, resolve, reject};
			const onGone = () => {
				this.#entries.delete(entry);
				reject(new NotRunError('The caller has gone.', {props: {reason: refusalReason.unavailable}}));
			};

			signal.addEventListener('abort', onGone, {once: true});
			this.#entries.add(entry);
			this.#refuseWorst(now);
			this.#timer ??= this.#timers.startTimer(lookMs, () => {
				this.#timer = undefined;
				this.serve();
			});
		});
	}

	/** Gives places to those whose turn it is; called when a place may have become free. */
	serve(): void {
		if (this.#entries.size === 0) {
			return;
		}

		const now = this.#timers.getNow();
		const sorted = [...this.#entries].sort((left, right) => compareTurns(left.waiting, right.waiting, now));
		for (const entry of sorted) {
			const place = entry.tryPlace(now);
			if (place !== undefined) {
				this.#entries.delete(entry);
				entry.resolve(place);
			} else if (isOverdue(entry.waiting, now)) {
				this.#refuse(entry, now, refusalReason.deadline);
			}
		}

		if (this.#entries.size > 0) {
			this.#timer ??= this.#timers.startTimer(lookMs, () => {
				this.#timer = undefined;
				this.serve();
			});
		}
	}

	#hasEarlier(waiting: Waiting, now: number): boolean {
		for (const entry of this.#entries) {
			if (compareTurns(entry.waiting, waiting, now) <= 0) {
				return true;
			}
		}

		return false;
	}

	#refuseWorst(now: number): void {
		if (this.#entries.size <= longestLine) {
			return;
		}

		let worst: Entry<Place> | undefined;
		for (const entry of this.#entries) {
			if (!worst || compareTurns(entry.waiting, worst.waiting, now) > 0) {
				worst = entry;
			}
		}

		if (worst) {
			this.#refuse(worst, now, refusalReason.queueFull);
		}
	}

	#refuse(entry: Entry<Place>, now: number, reason: RefusalReason): void {
		this.#entries.delete(entry);
		entry.reject(this.#createRefusal(entry.waiting, now, reason));
	}

	#createRefusal(waiting: Waiting, now: number, reason: RefusalReason): Error {
		const left = Math.max(0, waiting.deadlineAt - now);
		// Spread over the third of the time left that callers honour, so that those refused together come back apart.
		const retryAfterMs = Math.max(leastReturnMs, Math.round(left / 3 * (0.3 + (0.7 * this.#pickUnit()))));
		return new NotRunError('No engine has a place in time.', {props: {reason, retryAfterMs}});
	}
}

/** Compares whose turn comes first: requests that can be on time by their target, then late ones by their deadline. */
export function compareTurns(left: Waiting, right: Waiting, now: number): number {
	const isLeftLate = now + left.serviceMs > left.targetAt;
	const isRightLate = now + right.serviceMs > right.targetAt;
	if (isLeftLate !== isRightLate) {
		return isLeftLate ? 1 : -1;
	}

	return isLeftLate ? left.deadlineAt - right.deadlineAt : left.targetAt - right.targetAt;
}

/** Tells whether a request has waited for its part of the time that its caller gives it. */
export function isOverdue(waiting: Waiting, now: number): boolean {
	const limit = Math.max(waiting.targetAt - waiting.serviceMs, waiting.since + ((waiting.deadlineAt - waiting.since) * lateShare));
	return now > limit;
}
