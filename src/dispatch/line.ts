import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';

/** A request that waits for a place; times are monotonic, in milliseconds. */
export type Waiting = {
	/** Until then its answer is on time. */
	readonly targetAt: number;
	/** Until then its answer is of use. */
	readonly deadlineAt: number;
	/** Until then its caller waits for the first byte; others leave before their deadline. */
	readonly patientUntil: number;
	/** When it began to wait. */
	readonly since: number;
	/** Time from a place to the first byte of an answer. */
	readonly serviceMs: number;
	/** Requests of one group find a place or none alike. */
	readonly group: string;
};

/** A request got no place. No error: under overload a keeper makes thousands a second, and an error's stack is dear. */
export class LineRefusal {
	/** Takes why, and when the caller should come back, in milliseconds. */
	constructor(readonly reason: RefusalReason, readonly retryAfterMs: number) {}

	/** Creates the error that tells a caller. */
	toError(): Error {
		return new NotRunError('No engine has a place in time.', {props: {reason: this.reason, retryAfterMs: this.retryAfterMs}});
	}
}

type Entry<Place> = {
	readonly waiting: Waiting;
	readonly tryPlace: (now: number) => Place | undefined;
	readonly resolve: (result: Place | LineRefusal) => void;
};

/** Requests of one group that may wait, whatever they expect. */
const longestLine = 256;
/** Part of the time left that a late request may wait; the rest is for its engine and for coming back. */
const lateShare = 0.12;
/** Part of its caller's patience that a late request may wait. */
const patienceShare = 0.5;
/** Pause between two looks at the line when no place becomes free, in milliseconds. */
const lookMs = 5;
/** Least time to come back, in milliseconds: a place is not free sooner after a refusal. */
const leastReturnMs = 50;
/** Pause between two places given from the line that is assumed before one was measured, in milliseconds. */
const assumedPaceMs = 5;
/** Weight of the newest pause between two places. */
const paceWeight = 0.05;
/** How much longer than the pace tells a wait is taken to be: a turn that comes too late is worth less than a refusal in time. */
const paceMargin = 1.25;

/** Requests of one group: those that can be on time by their target, late ones by their deadline. */
class Group<Place> {
	readonly onTime: Array<Entry<Place>> = [];
	readonly late: Array<Entry<Place>> = [];
	paceMs = assumedPaceMs;
	#lastPlaceAt: number | undefined;

	get size(): number {
		return this.onTime.length + this.late.length;
	}

	/** Adds a request that will be on time by its turn, or a late one. */
	add(entry: Entry<Place>, isOnTime: boolean, now: number): void {
		const list = isOnTime ? this.onTime : this.late;
		let index = list.length;
		while (index > 0 && compareTurns(list[index - 1]!.waiting, entry.waiting, now) > 0) {
			index--;
		}

		list.splice(index, 0, entry);
		this.#lastPlaceAt ??= now;
	}

	remove(entry: Entry<Place>): boolean {
		for (const list of [this.onTime, this.late]) {
			const index = list.indexOf(entry);
			if (index !== -1) {
				list.splice(index, 1);
				return true;
			}
		}

		return false;
	}

	/** Finds whose turn it is; requests that can no longer be on time go to the late ones first. */
	findNext(now: number): Entry<Place> | undefined {
		while (this.onTime.length > 0 && !isOnTimeAt(this.onTime[0]!.waiting, now)) {
			this.add(this.onTime.shift()!, false, now);
		}

		return this.onTime[0] ?? this.late[0];
	}

	/** Counts the requests whose turn comes before another one's. */
	countAhead(waiting: Waiting, now: number): number {
		return isOnTimeAt(waiting, now) ? this.onTime.length : this.size;
	}

	onPlace(now: number): void {
		if (this.#lastPlaceAt !== undefined) {
			this.paceMs += (now - this.#lastPlaceAt - this.paceMs) * paceWeight;
		}

		this.#lastPlaceAt = this.size === 0 ? undefined : now;
	}

	/** Removes and returns late requests that have waited for their part of the time, or would by their turn. */
	takeOverdue(now: number): Array<Entry<Place>> {
		const overdue = this.late.filter(({waiting}, index) => isOverdue(waiting, now + ((this.onTime.length + index) * this.paceMs)));
		for (const entry of overdue) {
			this.remove(entry);
		}

		return overdue;
	}
}

/**
Requests of one service that wait for a place at an engine. Those that can still be on time go first, the earliest
target before the others; late ones take what is left. At the pace at which places come free, a request that would be
late even so, or would wait too long as a late one, is refused at once with a time to come back.
*/
export class WaitingLine<Place> {
	readonly #timers: TimerService;
	readonly #pickUnit: () => number;
	readonly #groups = new Map<string, Group<Place>>();
	#timer: Timer | undefined;

	constructor(timers: TimerService, pickUnit: () => number) {
		this.#timers = timers;
		this.#pickUnit = pickUnit;
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
	async wait(waiting: Waiting, tryPlace: (now: number) => Place | undefined, signal: AbortSignal): Promise<Place> {
		const result = await this.tryWait(waiting, tryPlace, signal);
		if (result instanceof LineRefusal) {
			throw result.toError();
		}

		return result;
	}

	/** Waits for a place; returns a refusal where `wait` throws. */
	async tryWait(waiting: Waiting, tryPlace: (now: number) => Place | undefined, signal: AbortSignal): Promise<Place | LineRefusal> {
		const now = this.#timers.getNow();
		if (now + waiting.serviceMs >= waiting.deadlineAt) {
			return this.#createRefusal(waiting, now, refusalReason.deadline);
		}

		const group = this.#getGroup(waiting.group);
		const ahead = group.countAhead(waiting, now);
		if (ahead === 0) {
			const place = tryPlace(now);
			if (place !== undefined) {
				return place;
			}
		}

		if (group.size >= longestLine) {
			return this.#createRefusal(waiting, now, refusalReason.queueFull);
		}

		// One that would not be on time by its turn must not hold up those that would: it waits with the late ones.
		const isOnTime = isOnTimeAt(waiting, now + ((ahead + 1) * group.paceMs * paceMargin));
		if (!isOnTime && isOverdue(waiting, now + ((group.size + 1) * group.paceMs))) {
			return this.#createRefusal(waiting, now, refusalReason.deadline);
		}

		return new Promise<Place | LineRefusal>(resolve => {
			const entry: Entry<Place> = {
				waiting, tryPlace, resolve,
			};
			signal.addEventListener('abort', () => {
				if (group.remove(entry)) {
					resolve(new LineRefusal(refusalReason.deadline, leastReturnMs));
				}
			}, {once: true});
			group.add(entry, isOnTime, now);
			this.#startTimer();
		});
	}

	/** Gives places to those whose turn it is; called when a place may have become free. */
	serve(): void {
		const now = this.#timers.getNow();
		for (const group of this.#groups.values()) {
			this.#serveGroup(group, now);
		}
	}

	#serveGroup(group: Group<Place>, now: number): void {
		for (let entry = group.findNext(now); entry; entry = group.findNext(now)) {
			const place = entry.tryPlace(now);
			if (place === undefined) {
				return;
			}

			group.remove(entry);
			group.onPlace(now);
			entry.resolve(place);
		}
	}

	#getGroup(name: string): Group<Place> {
		let group = this.#groups.get(name);
		if (!group) {
			group = new Group<Place>();
			this.#groups.set(name, group);
		}

		return group;
	}

	#startTimer(): void {
		this.#timer ??= this.#timers.startTimer(lookMs, () => {
			this.#timer = undefined;
			this.#serveAndRefuse();
		});
	}

	#serveAndRefuse(): void {
		this.serve();
		const now = this.#timers.getNow();
		for (const group of this.#groups.values()) {
			for (const entry of group.takeOverdue(now)) {
				entry.resolve(this.#createRefusal(entry.waiting, now, refusalReason.deadline));
			}
		}

		if (this.size > 0) {
			this.#startTimer();
		}
	}

	#createRefusal(waiting: Waiting, now: number, reason: RefusalReason): LineRefusal {
		return new LineRefusal(reason, computeReturnAfterMs(waiting.deadlineAt - now, this.#pickUnit()));
	}
}

/**
Computes when a refused caller should come back, in milliseconds: spread over the third of its time left that callers
honour, so that those refused together come back apart, and late enough that its time left tells that it was here before.
*/
export function computeReturnAfterMs(leftMs: number, unit: number): number {
	return Math.max(leastReturnMs, Math.round(Math.max(0, leftMs) / 3 * (0.5 + (0.5 * unit))));
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
	const {since, deadlineAt, patientUntil} = waiting;
	return at > since + Math.min((deadlineAt - since) * lateShare, (patientUntil - since) * patienceShare);
}
