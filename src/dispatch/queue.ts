import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {CustomerShares} from './customershares.js';

/** A request that waits for a reservation. Times are monotonic, in milliseconds. */
export type QueuedRequest = {
	/** Time after which its answer is late. */
	readonly targetAt: number;
	/** Time after which its answer is of no use. */
	readonly deadlineAt: number;
	/** Time at which its caller leaves if it got no first byte; may be before the deadline. */
	readonly firstByteDeadlineAt: number;
	/** Time at which it began to wait. */
	readonly queuedAt: number;
	/** Expected time from its reservation to the first byte of its answer. */
	readonly serviceMs: number;
	/** Requests of one group need the same capacity: when the first of them gets no reservation, the others are not tried. */
	readonly group: string;
	/** The customer whose request it is; `undefined` where requests have none. */
	readonly customer?: string;
	/** What it costs to serve, in a unit that all requests of the queue share. Default: 1. */
	readonly work?: number;
};

/**
Result for a request that got no reservation. It is not an error: under overload thousands are created each second, and
capturing the stack of an error is expensive.
*/
export class QueueRefusal {
	/** Takes the reason, and the time after which the caller should retry, in milliseconds. */
	constructor(readonly reason: RefusalReason, readonly retryAfterMs: number) {}

	/** Creates the error to throw for this refusal. */
	toError(): Error {
		return new NotRunError('No engine capacity could be reserved in time.', {props: {reason: this.reason, retryAfterMs: this.retryAfterMs}});
	}
}

/** Result for a request that has to wait for a reason of its own, whatever capacity there is: the requests behind it are tried. */
export const heldBack = Symbol('held back');

/** Makes a reservation at a monotonic time, in milliseconds. Returns `undefined` when there is no capacity, and a refusal when waiting for it is of no use. */
export type TryReserve<Reservation> = (now: number) => Reservation | QueueRefusal | typeof heldBack | undefined;

/** A queued request, how to make its reservation, and how to settle its wait. */
type Waiter<Reservation> = {
	readonly request: QueuedRequest;
	readonly tryReserve: TryReserve<Reservation>;
	readonly resolve: (result: Reservation | QueueRefusal) => void;
	readonly reject: (error: Error) => void;
};

/** Maximum number of queued requests of a group, whatever their expected wait. */
const maxGroupSize = 256;
/** Share of the time to its deadline that a late request may wait; the rest is left for its engine, or for a retry by its caller. */
const maxLateWaitShare = 0.12;
/** Share of the time to its first-byte deadline that a late request may wait. */
const maxFirstByteWaitShare = 0.5;
/** Interval at which reservations are tried again and overdue requests are refused, without a report of free capacity, in milliseconds. */
const dispatchIntervalMs = 5;
/** Share of the time left to a request up to which its caller honours a retry-after time. */
export const maxReturnShare = 1 / 3;
/** Minimum time after which a refused caller should retry, in milliseconds: capacity does not become free sooner. */
const minRetryAfterMs = 50;
/** Time between two grants that is assumed until it has been measured, in milliseconds. */
const initialGrantIntervalMs = 5;
/** Weight of the newest interval in the average time between two grants. */
const grantIntervalWeight = 0.05;
/** Factor by which an expected wait is overestimated: a grant that comes too late is worth less than a refusal in time. */
const waitMargin = 1.25;

/** Queued requests of one group: those that can be on time in the order of their targets, late ones in the order of their deadlines. */
class QueueGroup<Reservation> {
	readonly onTime: Array<Waiter<Reservation>> = [];
	readonly late: Array<Waiter<Reservation>> = [];
	/** Average time between two grants while requests waited, in milliseconds. */
	grantIntervalMs = initialGrantIntervalMs;
	readonly #shares: CustomerShares;
	#lastGrantAt: number | undefined;

	constructor(shares: CustomerShares) {
		this.#shares = shares;
	}

	get size(): number {
		return this.onTime.length + this.late.length;
	}

	/** Adds a request to those that are expected to be on time, or to the late ones. */
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

	/** Finds the request to serve next after the first `skipped` ones, after moving those that can no longer be on time to the late ones. */
	findNext(now: number, skipped: number): Waiter<Reservation> | undefined {
		while (this.onTime.length > 0 && !isOnTimeAt(this.onTime[0]!.request, now)) {
			this.add(this.onTime.shift()!, false, now);
		}

		return skipped < this.onTime.length ? this.#sortByRank(this.onTime, now)[skipped] : this.#sortByRank(this.late, now)[skipped - this.onTime.length];
	}

	/** Counts the queued requests that would be served before `request`, if it is on time or, as `isLate` tells, late. */
	countAhead(request: QueuedRequest, now: number, isLate = !isOnTimeAt(request, now)): number {
		const waiters = isLate ? [...this.onTime, ...this.late] : this.onTime;
		if (this.#shares.size < 2) {
			return waiters.length;
		}

		const rank = this.#shares.computeRank(request.customer, now);
		return waiters.filter((waiter, index) => (isLate && index < this.onTime.length) || this.#shares.computeRank(waiter.request.customer, now) <= rank).length;
	}

	/** Finds the request that yields to `request` first, for its place in a full queue; `undefined` when none does. */
	findYielding(request: QueuedRequest, now: number): Waiter<Reservation> | undefined {
		const last = this.#sortByRank([...this.onTime, ...this.late], now).at(-1);
		return last && this.#shares.computeRank(last.request.customer, now) > this.#shares.computeRank(request.customer, now) ? last : undefined;
	}

	onGrant(now: number): void {
		if (this.#lastGrantAt !== undefined) {
			this.grantIntervalMs += (now - this.#lastGrantAt - this.grantIntervalMs) * grantIntervalWeight;
		}

		this.#lastGrantAt = this.size === 0 ? undefined : now;
	}

	/** Removes and returns the late requests that are overdue, or would be when their turn comes. */
	takeOverdue(now: number): Array<Waiter<Reservation>> {
		const overdue = this.#sortByRank(this.late, now).filter(({request}, index) => isOverdue(request, now + ((this.onTime.length + index) * this.grantIntervalMs)));
		for (const waiter of overdue) {
			this.remove(waiter);
		}

		return overdue;
	}

	/** Sorts requests so that those of customers that yield come last; otherwise their order stays. */
	#sortByRank(waiters: ReadonlyArray<Waiter<Reservation>>, now: number): ReadonlyArray<Waiter<Reservation>> {
		if (this.#shares.size < 2 || waiters.length < 2) {
			return waiters;
		}

		const ranks = new Map(waiters.map(waiter => [waiter, this.#shares.computeRank(waiter.request.customer, now)]));
		return [...waiters].sort((left, right) => ranks.get(left)! - ranks.get(right)!);
	}
}

/**
Queue of the requests of one service that wait for a reservation. Requests that can still be on time are served first,
by earliest target; late ones get the capacity that is left, by earliest deadline. The expected wait is estimated from
the rate of recent grants: a request that would be late by its turn joins the late ones, and one that would wait too long
there is refused at once, with a time after which its caller should retry. Where requests of several customers wait, those of the customers
that have received the most of the recent work are served last and refused first.
*/
export class AdmissionQueue<Reservation> {
	readonly #timers: TimerService;
	readonly #getRandom: () => number;
	readonly #groups = new Map<string, QueueGroup<Reservation>>();
	readonly #shares = new CustomerShares();
	#timer: Timer | undefined;

	/** Takes a function that returns a uniform random number in [0, 1), which spreads the retries of refused callers. */
	constructor(timers: TimerService, getRandom: () => number) {
		this.#timers = timers;
		this.#getRandom = getRandom;
	}

	/** Number of queued requests. */
	get size(): number {
		let size = 0;
		for (const group of this.#groups.values()) {
			size += group.size;
		}

		return size;
	}

	/** Counts the queued requests of one group. */
	countWaiting(group: string): number {
		return this.#groups.get(group)?.size ?? 0;
	}

	/**
	Waits until `tryReserve` returns a reservation, and returns it; a refusal that it returns ends the wait. Throws `NotRunError` when the request is refused
	instead, or when `signal` is aborted, and what `tryReserve` throws.
	*/
	async wait(request: QueuedRequest, tryReserve: TryReserve<Reservation>, signal: AbortSignal): Promise<Reservation> {
		const result = await this.tryWait(request, tryReserve, signal);
		if (result instanceof QueueRefusal) {
			throw result.toError();
		}

		return result;
	}

	/** Does what `wait` does, but returns a refusal where `wait` throws. */
	async tryWait(request: QueuedRequest, tryReserve: TryReserve<Reservation>, signal: AbortSignal): Promise<Reservation | QueueRefusal> {
		const now = this.#timers.getNow();
		// A signal that is already aborted emits no event.
		if (signal.aborted) {
			return new QueueRefusal(refusalReason.deadline, minRetryAfterMs);
		}

		if (now + request.serviceMs >= request.deadlineAt) {
			return this.#createRefusal(request, now, refusalReason.deadline);
		}

		// Where no request has a customer there is nothing to share.
		if (request.customer !== undefined || this.#shares.size > 0) {
			this.#shares.onRequest(request.customer, now);
		}

		const group = this.#getGroup(request.group);
		const aheadCount = group.countAhead(request, now);
		if (aheadCount === 0) {
			const reservation = tryReserve(now);
			if (reservation !== undefined && reservation !== heldBack) {
				this.#countGrant(request, reservation, now);
				return reservation;
			}
		}

		if (group.size >= maxGroupSize && !this.#tryRefuseYielding(group, request, now)) {
			return this.#createRefusal(request, now, refusalReason.queueFull);
		}

		// A request that would be late by its turn must not delay those that can be on time: it is queued with the late ones.
		const isOnTime = isOnTimeAt(request, now + ((aheadCount + 1) * group.grantIntervalMs * waitMargin));
		if (!isOnTime && isOverdue(request, now + ((group.countAhead(request, now, true) + 1) * group.grantIntervalMs))) {
			return this.#createRefusal(request, now, refusalReason.deadline);
		}

		return new Promise<Reservation | QueueRefusal>((resolve, reject) => {
			const onAbort = () => {
				if (group.remove(waiter)) {
					resolve(new QueueRefusal(refusalReason.deadline, minRetryAfterMs));
				}
			};

			const waiter: Waiter<Reservation> = {
				request,
				tryReserve,
				resolve(result) {
					signal.removeEventListener('abort', onAbort);
					resolve(result);
				},
				reject(error) {
					signal.removeEventListener('abort', onAbort);
					reject(error);
				},
			};
			signal.addEventListener('abort', onAbort, {once: true});
			group.add(waiter, isOnTime, now);
			this.#startTimer();
		});
	}

	/** Makes reservations for queued requests, in their order, as far as capacity allows. Call it when capacity may have become free. */
	dispatch(): void {
		const now = this.#timers.getNow();
		for (const group of this.#groups.values()) {
			this.#dispatchGroup(group, now);
		}
	}

	#dispatchGroup(group: QueueGroup<Reservation>, now: number): void {
		let heldBackCount = 0;
		for (let waiter = group.findNext(now, 0); waiter; waiter = group.findNext(now, heldBackCount)) {
			let reservation: ReturnType<typeof waiter.tryReserve>;
			try {
				reservation = waiter.tryReserve(now);
			} catch (error) {
				// The caller of this method is another request or a timer: the error belongs to the request that waits.
				group.remove(waiter);
				waiter.reject(error as Error);
				continue;
			}

			if (reservation === undefined) {
				return;
			}

			if (reservation === heldBack) {
				heldBackCount++;
				continue;
			}

			group.remove(waiter);
			if (!(reservation instanceof QueueRefusal)) {
				group.onGrant(now);
			}

			this.#countGrant(waiter.request, reservation, now);

			waiter.resolve(reservation);
		}
	}

	#countGrant({customer, work = 1}: QueuedRequest, result: Reservation | QueueRefusal, now: number): void {
		if (!(result instanceof QueueRefusal)) {
			this.#shares.onGrant(customer, work, now);
		}
	}

	/** Refuses the queued request that yields to `request`, if one does, so that there is a place for it; returns whether there is. */
	#tryRefuseYielding(group: QueueGroup<Reservation>, request: QueuedRequest, now: number): boolean {
		const yielding = group.findYielding(request, now);
		if (!yielding) {
			return false;
		}

		group.remove(yielding);
		yielding.resolve(this.#createRefusal(yielding.request, now, refusalReason.queueFull));
		return true;
	}

	#getGroup(name: string): QueueGroup<Reservation> {
		let group = this.#groups.get(name);
		if (!group) {
			group = new QueueGroup<Reservation>(this.#shares);
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
Computes the time after which a refused caller should retry, in milliseconds: between a sixth and a third of the time to
its deadline. Callers honour up to a third of it. `random`, in [0, 1), spreads callers that are refused together, so that
they do not return together. With a sixth gone, the time left to the deadline shows that a request was refused before.
*/
export function computeRetryAfterMs(remainingMs: number, random: number): number {
	return Math.max(minRetryAfterMs, Math.round(Math.max(0, remainingMs) * maxReturnShare * (0.5 + (0.5 * random))));
}

/** Compares which request is served first: those that can be on time by earliest target, then late ones by earliest deadline. */
export function comparePriority(left: QueuedRequest, right: QueuedRequest, now: number): number {
	const isLeftOnTime = isOnTimeAt(left, now);
	if (isLeftOnTime !== isOnTimeAt(right, now)) {
		return isLeftOnTime ? -1 : 1;
	}

	return isLeftOnTime ? left.targetAt - right.targetAt : left.deadlineAt - right.deadlineAt;
}

/** Tells whether a request that gets its reservation at `at` is answered on time. */
export function isOnTimeAt(request: QueuedRequest, at: number): boolean {
	return at + request.serviceMs <= request.targetAt;
}

/** Tells whether a late request, if it still waits at `at`, has waited for longer than late requests may. */
export function isOverdue(request: QueuedRequest, at: number): boolean {
	const {queuedAt, deadlineAt, firstByteDeadlineAt} = request;
	return at > queuedAt + Math.min((deadlineAt - queuedAt) * maxLateWaitShare, (firstByteDeadlineAt - queuedAt) * maxFirstByteWaitShare);
}
