import type {AdmissionPolicy} from '../admission/index.js';
import {computeRetryAfterMs} from '../admission/index.js';
import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {CallerGate} from '../fairness/index.js';
import type {RetryBudget} from '../retries/index.js';
import {Instances} from './instances.js';
import {Placer} from './placer.js';
import type {Place, PlacerParts} from './placer.js';
import {placementOutcome, Router} from './types.js';
import type {
	DemandCounter, Placement, PlacementOutcome, Work,
} from './types.js';

/** Requests in progress that one entry takes on. */
const mostRunning = 4000;

/** What the router decides with. */
export type PolicyParts = PlacerParts & {
	readonly admission: AdmissionPolicy;
	readonly callers: CallerGate;
	readonly retries: RetryBudget;
	readonly demand: DemandCounter;
};

/**
Chooses by expected times: limits and equal shares of callers first, then the best place in the own failure domain,
then admission by deadline with other failure domains as a way out.
*/
export class PolicyRouter extends Router {
	readonly #parts: PolicyParts;
	readonly #placer: Placer;
	readonly #instances: Instances;
	readonly #running = new Map<string, number>();
	/** Estimates of requests chosen for and not yet sent. */
	readonly #chosen = new WeakMap<Placement, Place>();

	constructor(parts: PolicyParts) {
		super();
		this.#parts = parts;
		this.#placer = new Placer(parts);
		this.#instances = new Instances({...parts, countRunning: upstream => this.countRunning(upstream)});
	}

	choosePlacement(work: Work, excluded: ReadonlySet<string>): Placement {
		const isFirst = excluded.size === 0;
		if (isFirst) {
			this.#checkCaller(work);
		}

		const here = this.#placer.chooseHere(work, excluded);
		const place = here && this.#isInTime(work, here) ? here : this.#placer.chooseElsewhere(work, excluded) ?? here;
		if (!place) {
			throw this.#createNoPlace(work);
		}

		if (isFirst) {
			this.#checkAdmission(work, place);
		}

		this.#chosen.set(place.placement, place);
		return place.placement;
	}

	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		return this.#instances.chooseInstance(service, excluded);
	}

	override checkCall(_service: string, caller: string): void {
		const verdict = this.#parts.callers.tryTake(caller, 0);
		if (!verdict.isWithin) {
			throw this.#createRefusal(refusalReason.callerLimit, verdict.waitMs, 'the caller is over its limit');
		}
	}

	tryRetry(service: string): boolean {
		return this.#parts.retries.tryTake(service);
	}

	onSent(work: Work, placement: Placement): void {
		const place = this.#chosen.get(placement);
		this.#count(placement, 1);
		this.#parts.flights.add(work, placement, place?.estimate);
		this.#parts.health.onSent(placement.upstream.id);
		this.#parts.prefixes.add((placement.prefill ?? placement.upstream).id, work.prefixes);
	}

	onTokens(work: Work, placement: Placement, count: number): void {
		this.#parts.flights.onTokens(work, placement, count);
	}

	onEnd(work: Work, placement: Placement, outcome: PlacementOutcome): void {
		this.#count(placement, -1);
		this.#parts.flights.remove(work, placement, outcome === placementOutcome.done);
		this.#onOutcome(placement.upstream.id, outcome);
		if (outcome === placementOutcome.done) {
			this.#parts.retries.onSuccess(work.service);
		}
	}

	onCallSent(upstream: string): void {
		this.#running.set(upstream, this.countRunning(upstream) + 1);
		this.#parts.health.onSent(upstream);
	}

	onCallEnd(upstream: string, outcome: PlacementOutcome): void {
		this.#running.set(upstream, this.countRunning(upstream) - 1);
		this.#onOutcome(upstream, outcome);
	}

	isOpen(upstream: string): boolean {
		return this.#parts.view.isOpen(upstream);
	}

	countRunning(upstream: string): number {
		return this.#running.get(upstream) ?? 0;
	}

	#count({upstream, prefill}: Placement, by: number): void {
		for (const engine of prefill ? [upstream, prefill] : [upstream]) {
			this.#running.set(engine.id, this.countRunning(engine.id) + by);
		}
	}

	#onOutcome(upstream: string, outcome: PlacementOutcome): void {
		const {health} = this.#parts;
		if (outcome === placementOutcome.done) {
			health.onSuccess(upstream);
		} else if (outcome === placementOutcome.cancelled) {
			health.onNeutral(upstream);
		} else {
			health.onFailure(upstream);
		}
	}

	#checkCaller(work: Work): void {
		const {callers, demand, flights} = this.#parts;
		const tokens = work.promptTokens + flights.computeOutput(work);
		demand.count(work.service, work.promptTokens, flights.computeOutput(work));
		const verdict = callers.tryTake(work.caller, tokens);
		if (!verdict.isWithin) {
			throw this.#createRefusal(refusalReason.callerLimit, verdict.waitMs, 'the caller is over its limit');
		}

		if (flights.size >= mostRunning) {
			throw this.#createRefusal(refusalReason.queueFull, 1000, `${mostRunning} requests are in progress here`);
		}
	}

	#isInTime(work: Work, {estimate}: Place): boolean {
		return this.#parts.timers.getNow() + (estimate.endMs * this.#parts.flights.computeCorrection(work.service)) < work.due;
	}

	#checkAdmission(work: Work, {estimate}: Place): void {
		const {admission, callers, flights, timers} = this.#parts;
		if (!callers.tryPass(work.caller, estimate.aloneMs)) {
			throw this.#createRefusal(refusalReason.fairShare, estimate.endMs, 'other callers have had less than their equal share');
		}

		const correction = flights.computeCorrection(work.service);
		const verdict = admission.decide({
			service: work.service,
			isPrefillHeavy: estimate.aloneFirstMs * 2 > estimate.aloneMs,
			remainingMs: work.due - timers.getNow(),
			expectedMs: estimate.endMs * correction,
			unloadedMs: estimate.aloneMs,
			isEngineIdle: estimate.isIdle,
		});
		if (verdict.isAdmitted) {
			return;
		}

		callers.onRefused();
		throw new NotRunError('the answer would be late', {props: {reason: verdict.reason, retryAfterMs: verdict.retryAfterMs}});
	}

	#createNoPlace(work: Work): Error {
		const waitMs = this.#placer.computeWaitMs(work.service);
		const reason = waitMs > 0 ? refusalReason.unavailable : refusalReason.noUpstream;
		return this.#createRefusal(reason, Math.max(waitMs, 1000), `no engine of ${work.service} takes work`);
	}

	#createRefusal(reason: RefusalReason, waitMs: number, message: string): Error {
		return new NotRunError(message, {props: {reason, retryAfterMs: computeRetryAfterMs(waitMs, this.#parts.random)}});
	}
}
