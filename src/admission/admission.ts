import {refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {computeReturnMs} from './comeback.js';

/** A request as admission looks at it; times in milliseconds from now. */
export type AdmissionRequest = {
	readonly service: string;
	/** Whether reading the prompt takes longer than writing the answer. */
	readonly isReading: boolean;
	/** Time left until the answer is due. */
	readonly leftMs: number;
	/** Expected time to the end of the answer at the best place, and at the same place were it idle. */
	readonly endMs: number;
	readonly aloneMs: number;
	/** Whether the place has nothing to do. */
	readonly isIdle: boolean;
};

/** What becomes of a request. */
export type Verdict =
	| {readonly isAdmitted: true}
	| {readonly isAdmitted: false; readonly reason: RefusalReason; readonly retryAfterMs: number};

const halfLifeMs = 10_000;
/** How many times more often one class of work may be admitted than the other. */
const allowedImbalance = 2;
/** Part of the time left that an expected end may take up. */
const usableShare = 0.9;

/** Requests of a class: all, those that would be in time, and those admitted. */
type Tally = {readonly offered: DecayedSum; readonly inTime: DecayedSum; readonly admitted: DecayedSum};

/** Decides whether a request is taken on. */
export abstract class AdmissionPort {
	/** Decides on one request. */
	abstract decide(request: AdmissionRequest): Verdict;
}

/** Admits everything: for runs that measure what admission is worth. */
export class OpenAdmission extends AdmissionPort {
	decide(): Verdict {
		return {isAdmitted: true};
	}
}

/**
Refuses at once what can't be answered by its deadline. Work that mostly reads and work that mostly writes are
counted apart: the one that gets through much more often is thinned, so that neither starves the other.
*/
export class Admission extends AdmissionPort {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #tallies = new Map<string, Tally>();

	constructor(timers: TimerService, random: RandomSource) {
		super();
		this.#timers = timers;
		this.#random = random;
	}

	decide(request: AdmissionRequest): Verdict {
		const now = this.#timers.getNow();
		const tally = this.#getTally(request.service, request.isReading);
		tally.offered.add(1, now);
		const isLate = request.endMs > request.leftMs * usableShare;
		const isHopeless = request.aloneMs > request.leftMs;
		// An idle place is tried even if it looks too slow, so that what was learned can be corrected.
		if (isHopeless || (isLate && !request.isIdle)) {
			return this.#refuse(request.endMs - request.leftMs);
		}

		tally.inTime.add(1, now);
		if (this.#random.pickUnit() >= this.#computeChance(request, now)) {
			return this.#refuse(request.endMs);
		}

		tally.admitted.add(1, now);
		return {isAdmitted: true};
	}

	/** Computes the chance of a request whose class may be ahead of the other one. */
	#computeChance(request: AdmissionRequest, now: number): number {
		const own = this.#getTally(request.service, request.isReading);
		const other = this.#getTally(request.service, !request.isReading);
		if (other.offered.get(now) < 1 || request.isIdle) {
			return 1;
		}

		const ownShare = own.inTime.get(now) / Math.max(1, own.offered.get(now));
		const otherShare = other.admitted.get(now) / other.offered.get(now);
		return ownShare === 0 ? 1 : Math.min(1, Math.max(otherShare, 0.05) * allowedImbalance / ownShare);
	}

	#refuse(backlogMs: number): Verdict {
		return {isAdmitted: false, reason: refusalReason.deadline, retryAfterMs: computeReturnMs(backlogMs, this.#random)};
	}

	#getTally(service: string, isReading: boolean): Tally {
		const key = `${service}/${isReading ? 'reading' : 'writing'}`;
		const tally = this.#tallies.get(key) ?? {
			offered: new DecayedSum(halfLifeMs), inTime: new DecayedSum(halfLifeMs), admitted: new DecayedSum(halfLifeMs),
		};
		this.#tallies.set(key, tally);
		return tally;
	}
}
