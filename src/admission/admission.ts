import {refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {computeRetryAfterMs} from './retryafter.js';

/** A request as admission looks at it; times in milliseconds from now. */
export type AdmissionRequest = {
	readonly service: string;
	/** Whether reading the prompt takes longer than writing the answer. */
	readonly isPrefillHeavy: boolean;
	/** Time left until the answer is due. */
	readonly remainingMs: number;
	/** Expected time to the end of the answer at the best place, and at the same place were it idle. */
	readonly expectedMs: number;
	readonly unloadedMs: number;
	/** Whether the place has nothing to do. */
	readonly isEngineIdle: boolean;
};

/** What becomes of a request. */
export type AdmissionDecision =
	| {readonly isAdmitted: true}
	| {readonly isAdmitted: false; readonly reason: RefusalReason; readonly retryAfterMs: number};

const halfLifeMs = 10_000;
/** How many times more often one class of work may be admitted than the other. */
const maxImbalance = 2;
/** Part of the time left that an expected end may take up. */
const deadlineSafetyFactor = 0.9;

/** Requests of a class: all, those that would be in time, and those admitted. */
type Tally = {readonly offered: DecayedSum; readonly onTime: DecayedSum; readonly admitted: DecayedSum};

/** Decides whether a request is taken on. */
export abstract class AdmissionPolicy {
	/** Decides on one request. */
	abstract decide(request: AdmissionRequest): AdmissionDecision;
}

/** Admits everything: for runs that measure what admission is worth. */
export class UnlimitedAdmission extends AdmissionPolicy {
	decide(): AdmissionDecision {
		return {isAdmitted: true};
	}
}

/**
Refuses at once what can't be answered by its deadline. Work that mostly reads and work that mostly writes are
counted apart: the one that gets through much more often is thinned, so that neither starves the other.
*/
export class DeadlineAdmission extends AdmissionPolicy {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #tallies = new Map<string, Tally>();

	constructor(timers: TimerService, random: RandomSource) {
		super();
		this.#timers = timers;
		this.#random = random;
	}

	decide(request: AdmissionRequest): AdmissionDecision {
		const now = this.#timers.getNow();
		const tally = this.#getTally(request.service, request.isPrefillHeavy);
		tally.offered.add(1, now);
		const isExpectedLate = request.expectedMs > request.remainingMs * deadlineSafetyFactor;
		const isImpossible = request.unloadedMs > request.remainingMs;
		// An idle place is tried even if it looks too slow, so that what was learned can be corrected.
		if (isImpossible || (isExpectedLate && !request.isEngineIdle)) {
			return this.#refuse(request.expectedMs - request.remainingMs);
		}

		tally.onTime.add(1, now);
		if (this.#random.getRandom() >= this.#computeAdmissionProbability(request, now)) {
			return this.#refuse(request.expectedMs);
		}

		tally.admitted.add(1, now);
		return {isAdmitted: true};
	}

	/** Computes the chance of a request whose class may be ahead of the other one. */
	#computeAdmissionProbability(request: AdmissionRequest, now: number): number {
		const classTally = this.#getTally(request.service, request.isPrefillHeavy);
		const otherTally = this.#getTally(request.service, !request.isPrefillHeavy);
		if (otherTally.offered.get(now) < 1 || request.isEngineIdle) {
			return 1;
		}

		const onTimeShare = classTally.onTime.get(now) / Math.max(1, classTally.offered.get(now));
		const otherAdmittedShare = otherTally.admitted.get(now) / otherTally.offered.get(now);
		return onTimeShare === 0 ? 1 : Math.min(1, Math.max(otherAdmittedShare, 0.05) * maxImbalance / onTimeShare);
	}

	#refuse(backlogMs: number): AdmissionDecision {
		return {isAdmitted: false, reason: refusalReason.deadline, retryAfterMs: computeRetryAfterMs(backlogMs, this.#random)};
	}

	#getTally(service: string, isPrefillHeavy: boolean): Tally {
		const key = `${service}/${isPrefillHeavy ? 'reading' : 'writing'}`;
		const tally = this.#tallies.get(key) ?? {
			offered: new DecayedSum(halfLifeMs), onTime: new DecayedSum(halfLifeMs), admitted: new DecayedSum(halfLifeMs),
		};
		this.#tallies.set(key, tally);
		return tally;
	}
}
