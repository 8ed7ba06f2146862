import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';

/** A request that waits for a place; times are monotonic, in milliseconds. */
export type QueuedRequest = {
	/** Until then its answer is on time. */
	readonly targetAt: number;
	/** Until then its answer is of use. */
	readonly deadlineAt: number;
	/** Until then its caller waits for the first byte; others leave before their deadline. */
	readonly firstByteDeadlineAt: number;
	/** When it began to wait. */
	readonly queuedAt: number;
	/** Time from a place to the first byte of an answer. */
	readonly serviceMs: number;
	/** Requests of one group find a place or none alike. */
	readonly group: string;
};

/** A request got no place. No error: under overload a keeper makes thousands a second, and an error's stack is dear. */
export class QueueRefusal {
	/** Takes why, and when the caller should come back, in milliseconds. */
	constructor(readonly reason: RefusalReason, readonly retryAfterMs: number) {}

	/** Creates the error that tells a caller. */
	toError(): Error {
		return new NotRunError('No engine has a place in time.', {props: {reason: this.reason, retryAfterMs: this.retryAfterMs}});
	}
}

type Waiter<Reservation> = {
	readonly request: QueuedRequest;
	readonly tryReserve: (now: number) => Reservation | undefined;
	readonly resolve: (result: Reservation | QueueRefusal) => void;
};

/** Requests of one group that may wait, whatever they expect. */
const maxGroupSize = 256;
/** Part of the time left that a late request may wait; the rest is for its engine and for coming back. */
const maxLateWaitShare = 0.12;
/** Part of its caller's patience that a late request may wait. */
const maxFirstByteWaitShare = 0.5;
/** Pause between two looks at the line when no place becomes free, in milliseconds. */
const dispatchIntervalMs = 5;
/** Least time to come back, in milliseconds: a place is not free sooner after a refusal. */
const minRetryAfterMs = 50;
/** Pause between two places given from the line that is assumed before one was measured, in milliseconds. */
const initialGrantIntervalMs = 5;
/** Weight of the newest pause between two places. */
const grantIntervalWeight = 0.05;
/** How much longer than the pace tells a wait is taken to be: a turn that comes too late is worth less than a refusal in time. */
const waitMargin = 1.25;

/** Requests of one group: those that can be on time by their target, late ones by their deadline. */
class QueueGroup<Reservation> {
	readonly onTime: Array<Waiter<Reservation>> = [];
	readonly late: Array<Waiter<Reservation>> = [];
	grantIntervalMs = initialGrantIntervalMs;
	#lastGrantAt: number | undefined;

	get size(): number {
		return this.onTime.length + this.late.length;
	}

	/** Adds a request that will be on time by its turn, or a late one. */
	add(waiter: Waiter<Reservation>, isOnTime: boolean, now: number): void {
		const list = isOnTime ? this.onTime : this.late;
		let index = list.length;
		while (index > 0 && comparePriority(list[index - 1]!.request, waiter.request, now) > 0) {
			index--;
		}

		list.splice(index, 0, waiter);
		this.#lastGrantAt ??= now;
	}

	remove(waiter: Waiter<Reservation>): boolean {
		for (const list of [this.onTime, this.late]) {
			const index = list.indexOf(waiter);
			if (index !== -1) {
				list.splice(index, 1);
				return true;
			}
		}

		return false;
	}

	/** Finds whose turn it is; requests that can no longer be on time go to the late ones first. */
	findNext(now: number): Waiter<Reservation> | undefined {
		while (this.onTime.length > 0 && !isOnTimeAt(this.onTime[0]!.request, now)) {
			this.add(this.onTime.shift()!, false, now);
		}

		return this.onTime[0] ?? this.late[0];
	}

	/** Counts the requests whose turn comes before another one's. */
	countAhead(request: QueuedRequest, now: number): number {
		return isOnTimeAt(request, now) ? this.onTime.length : this.size;
	}

	onGrant(now: number): void {
		if (this.#lastGrantAt !== undefined) {
			this.grantIntervalMs += (now - this.#lastGrantAt - this.grantIntervalMs) * grantIntervalWeight;
		}

		this.#lastGrantAt = this.size === 0 ? undefined : now;
	}

	/** Removes and returns late requests that have waited for their part of the time, or would by their turn. */
	takeOverdue(now: number): Array<Waiter<Reservation>> {
		const overdue = this.late.filter(({request}, index) => isOverdue(request, now + ((this.onTime.length + index) * this.grantIntervalMs)));
		for (const waiter of overdue) {
			this.remove(waiter);
		}

		return overdue;
	}
}

/**
Requests of one service that wait for a place at an engine. Those that can still be on time go first, the earliest
target before the others; late ones take what is left. At the pace at which places come free, a request that would be
late even so, or would wait too long as a late one, is refused at once with a time to come back.
*/
export class AdmissionQueue<Reservation> {
	readonly #timers: TimerService;
	readonly #getRandom: () => number;
	readonly #groups = new Map<string, QueueGroup<Reservation>>();
	#timer: Timer | undefined;

	constructor(timers: TimerService, getRandom: () => number) {
		this.#timers = timers;
		this.#getRandom = getRandom;
	}

	/** Number of requests that wait. */
	get size(): number {
		let size = 0;
		for (const group of this.#groups.values()) {
			size += group.size;
		}

		return size;
	}

	/** Counts the requests of one group that wait. */
	countWaiting(group: string): number {
		return this.#groups.get(group)?.size ?? 0;
	}

	/** Waits for a place; throws `NotRunError` when the request is refused instead, or `signal` is aborted. */
	async wait(request: QueuedRequest, tryReserve: (now: number) => Reservation | undefined, signal: AbortSignal): Promise<Reservation> {
		const result = await this.tryWait(request, tryReserve, signal);
		if (result instanceof QueueRefusal) {
			throw result.toError();
		}

		return result;
	}

	/** Waits for a place; returns a refusal where `wait` throws. */
	async tryWait(request: QueuedRequest, tryReserve: (now: number) => Reservation | undefined, signal: AbortSignal): Promise<Reservation | QueueRefusal> {
		const now = this.#timers.getNow();
		if (now + request.serviceMs >= request.deadlineAt) {
			return this.#createRefusal(request, now, refusalReason.deadline);
		}

		const group = this.#getGroup(request.group);
		const aheadCount = group.countAhead(request, now);
		if (aheadCount === 0) {
			const reservation = tryReserve(now);
			if (reservation !== undefined) {
				return reservation;
			}
		}

		if (group.size >= maxGroupSize) {
			return this.#createRefusal(request, now, refusalReason.queueFull);
		}

		// One that would not be on time by its turn must not hold up those that would: it waits with the late ones.
		const isOnTime = isOnTimeAt(request, now + ((aheadCount + 1) * group.grantIntervalMs * waitMargin));
		if (!isOnTime && isOverdue(request, now + ((group.size + 1) * group.grantIntervalMs))) {
			return this.#createRefusal(request, now, refusalReason.deadline);
		}

		return new Promise<Reservation | QueueRefusal>(resolve => {
			const waiter: Waiter<Reservation> = {
				request, tryReserve, resolve,
			};
			signal.addEventListener('abort', () => {
				if (group.remove(waiter)) {
					resolve(new QueueRefusal(refusalReason.deadline, minRetryAfterMs));
				}
			}, {once: true});
			group.add(waiter, isOnTime, now);
			this.#startTimer();
		});
	}

	/** Gives places to those whose turn it is; called when a place may have become free. */
	dispatch(): void {
		const now = this.#timers.getNow();
		for (const group of this.#groups.values()) {
			this.#dispatchGroup(group, now);
		}
	}

	#dispatchGroup(group: QueueGroup<Reservation>, now: number): void {
		for (let waiter = group.findNext(now); waiter; waiter = group.findNext(now)) {
			const reservation = waiter.tryReserve(now);
			if (reservation === undefined) {
				return;
			}

			group.remove(waiter);
			group.onGrant(now);
			waiter.resolve(reservation);
		}
	}

	#getGroup(name: string): QueueGroup<Reservation> {
		let group = this.#groups.get(name);
		if (!group) {
			group = new QueueGroup<Reservation>();
			this.#groups.set(name, group);
		}

		return group;
	}

	#startTimer(): void {
		this.#timer ??= this.#timers.startTimer(dispatchIntervalMs, () => {
			this.#timer = undefined;
			this.#dispatchAndRefuse();
		});
	}

	#dispatchAndRefuse(): void {
		this.dispatch();
		const now = this.#timers.getNow();
		for (const group of this.#groups.values()) {
			for (const waiter of group.takeOverdue(now)) {
				waiter.resolve(this.#createRefusal(waiter.request, now, refusalReason.deadline));
			}
		}

		if (this.size > 0) {
			this.#startTimer();
		}
	}

	#createRefusal(request: QueuedRequest, now: number, reason: RefusalReason): QueueRefusal {
		return new QueueRefusal(reason, computeRetryAfterMs(request.deadlineAt - now, this.#getRandom()));
	}
}

/**
Computes when a refused caller should come back, in milliseconds: spread over the third of its time left that callers
honour, so that those refused together come back apart, and late enough that its time left tells that it was here before.
*/
export function computeRetryAfterMs(remainingMs: number, random: number): number {
	return Math.max(minRetryAfterMs, Math.round(Math.max(0, remainingMs) / 3 * (0.5 + (0.5 * random))));
}

/** Compares whose turn comes first: requests that can be on time by their target, then late ones by their deadline. */
export function comparePriority(left: QueuedRequest, right: QueuedRequest, now: number): number {
	const isLeftOnTime = isOnTimeAt(left, now);
	if (isLeftOnTime !== isOnTimeAt(right, now)) {
		return isLeftOnTime ? -1 : 1;
	}

	return isLeftOnTime ? left.targetAt - right.targetAt : left.deadlineAt - right.deadlineAt;
}

/** Tells whether a request that gets its place at `at` is answered on time. */
export function isOnTimeAt(request: QueuedRequest, at: number): boolean {
	return at + request.serviceMs <= request.targetAt;
}

/** Tells whether a request at `at` has waited for its part of the time that its caller gives it. */
export function isOverdue(request: QueuedRequest, at: number): boolean {
	const {queuedAt, deadlineAt, firstByteDeadlineAt} = request;
	return at > queuedAt + Math.min((deadlineAt - queuedAt) * maxLateWaitShare, (firstByteDeadlineAt - queuedAt) * maxFirstByteWaitShare);
}
