import {refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {computeRetryAfterMs} from './retryafter.js';

/** What admission needs to know of a request. Times are in milliseconds from now. */
export type AdmissionRequest = {
	readonly service: string;
	/** Whether the prefill of its prompt takes longer than decoding its answer. */
	readonly isPrefillHeavy: boolean;
	/** Time left until its deadline. */
	readonly remainingMs: number;
	/** Expected time to the end of the answer on the chosen engine. */
	readonly expectedMs: number;
	/** The same if the engine were idle. */
	readonly unloadedMs: number;
	/** Whether the chosen engine has no other work. */
	readonly isEngineIdle: boolean;
};

/** Whether a request is admitted; if not, the reason and the time after which to retry. */
export type AdmissionDecision =
	| {readonly isAdmitted: true}
	| {readonly isAdmitted: false; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Half-life of the counts of requests, in milliseconds. */
const halfLifeMs = 10_000;
/** Maximum ratio of the admitted shares of the two classes of work. */
const maxImbalance = 2;
/** Share of its remaining time that a request may be expected to take. */
const deadlineSafetyFactor = 0.9;

/** Recent requests of a class of work: all, those expected to be on time, and those admitted. */
type Tally = {readonly offered: DecayedSum; readonly onTime: DecayedSum; readonly admitted: DecayedSum};

/** Decides which requests are admitted. */
export abstract class AdmissionPolicy {
	/** Decides whether a request is admitted, and counts it. */
	abstract decide(request: AdmissionRequest): AdmissionDecision;
}

/** Admits every request: a baseline to measure the effect of admission against. */
export class UnlimitedAdmission extends AdmissionPolicy {
	decide(): AdmissionDecision {
		return {isAdmitted: true};
	}
}

/**
Refuses requests at once that are not expected to be answered by their deadline. Prefill-heavy and decode-heavy requests
are counted as two classes of work: when one is admitted much more often than the other, some of its requests are refused
at random, so that neither class starves the other.
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
		// An idle engine is used even if it seems too slow: a new measurement can correct the estimate.
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

	/** Computes the probability, 0 to 1, of admitting a request by the admitted shares of both classes. */
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
