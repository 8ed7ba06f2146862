import type {AdmissionPolicy} from '../admission/index.js';
import {computeRetryAfterMs} from '../admission/index.js';
import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {CallerGate} from '../fairness/index.js';
import type {RetryBudget} from '../retries/index.js';
import {InstanceSelector} from './instanceselector.js';
import {PlacementSelector} from './placementselector.js';
import type {EstimatedPlacement, PlacementSelectorDependencies} from './placementselector.js';
import {placementOutcome, Router} from './types.js';
import type {
	DemandCounter, Placement, PlacementOutcome, RoutingRequest,
} from './types.js';

/** Maximum number of requests in progress at one entry. */
const maxInFlight = 4000;

/** What the router decides by. */
export type LatencyRouterDependencies = PlacementSelectorDependencies & {
	readonly admission: AdmissionPolicy;
	readonly callers: CallerGate;
	readonly retries: RetryBudget;
	readonly demand: DemandCounter;
};

/**
Routes each request to the engines where its expected latency is lowest. It checks the caller's limits, chooses a placement
in this failure domain, or in another one when the request would be late here, and then checks the caller's equal share
and whether the answer is expected by its deadline. A further attempt is not checked again.
*/
export class LatencyRouter extends Router {
	readonly #dependencies: LatencyRouterDependencies;
	readonly #placementSelector: PlacementSelector;
	readonly #instanceSelector: InstanceSelector;
	readonly #inFlightByUpstream = new Map<string, number>();
	/** Estimates of the chosen placements, which `onSent` adds to the requests in progress. */
	readonly #estimatedPlacements = new WeakMap<Placement, EstimatedPlacement>();

	constructor(dependencies: LatencyRouterDependencies) {
		super();
		this.#dependencies = dependencies;
		this.#placementSelector = new PlacementSelector(dependencies);
		this.#instanceSelector = new InstanceSelector({...dependencies, countInFlight: upstream => this.countInFlight(upstream)});
	}

	choosePlacement(request: RoutingRequest, excluded: ReadonlySet<string>, isFurtherAttempt = excluded.size > 0): Placement {
		if (!isFurtherAttempt) {
			this.#checkCaller(request);
		}

		const local = this.#placementSelector.chooseLocal(request, excluded);
		const chosen = local && this.#isOnTime(request, local) ? local : this.#placementSelector.chooseRemote(request, excluded) ?? local;
		if (!chosen) {
			throw this.#createNoEngineRefusal(request);
		}

		if (!isFurtherAttempt) {
			this.#checkAdmission(request, chosen);
		}

		this.#estimatedPlacements.set(chosen.placement, chosen);
		return chosen.placement;
	}

	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		return this.#instanceSelector.chooseInstance(service, excluded);
	}

	override checkCall(_service: string, caller: string): void {
		const decision = this.#dependencies.callers.tryTake(caller, 0);
		if (!decision.isWithinLimits) {
			throw this.#createRefusal(refusalReason.callerLimit, decision.waitMs, 'the caller is over its limit');
		}
	}

	tryRetry(service: string): boolean {
		return this.#dependencies.retries.tryTake(service);
	}

	onSent(request: RoutingRequest, placement: Placement): void {
		const chosen = this.#estimatedPlacements.get(placement);
		this.#count(placement, 1);
		this.#dependencies.inFlight.add(request, placement, chosen?.latency);
		this.#dependencies.health.onSent(placement.upstream.id);
		this.#dependencies.prefixCaches.add((placement.prefillEngine ?? placement.upstream).id, request.prefixes);
	}

	onTokens(request: RoutingRequest, placement: Placement, count: number): void {
		this.#dependencies.inFlight.onTokens(request, placement, count);
	}

	override onSilent(placement: Placement): void {
		this.#onOutcome(placement.upstream.id, placementOutcome.silent);
	}

	onEnd(request: RoutingRequest, placement: Placement, outcome: PlacementOutcome): void {
		this.#count(placement, -1);
		this.#dependencies.inFlight.remove(request, placement, outcome === placementOutcome.done);
		this.#onOutcome(placement.upstream.id, outcome);
		if (outcome === placementOutcome.done) {
			this.#dependencies.retries.onSuccess(request.service);
		}
	}

	onCallSent(upstream: string): void {
		this.#inFlightByUpstream.set(upstream, this.countInFlight(upstream) + 1);
		this.#dependencies.health.onSent(upstream);
	}

	onCallEnd(upstream: string, outcome: PlacementOutcome): void {
		this.#inFlightByUpstream.set(upstream, this.countInFlight(upstream) - 1);
		this.#onOutcome(upstream, outcome);
	}

	isAvailable(upstream: string): boolean {
		return this.#dependencies.view.isAvailable(upstream);
	}

	countInFlight(upstream: string): number {
		return this.#inFlightByUpstream.get(upstream) ?? 0;
	}

	#count({upstream, prefillEngine}: Placement, change: number): void {
		for (const engine of prefillEngine ? [upstream, prefillEngine] : [upstream]) {
			this.#inFlightByUpstream.set(engine.id, this.countInFlight(engine.id) + change);
		}
	}

	#onOutcome(upstream: string, outcome: PlacementOutcome): void {
		const {health} = this.#dependencies;
		if (outcome === placementOutcome.done) {
			health.onSuccess(upstream);
		} else if (outcome === placementOutcome.cancelled) {
			health.onInconclusive(upstream);
		} else {
			health.onFailure(upstream);
		}
	}

	#checkCaller(request: RoutingRequest): void {
		const {callers, demand, inFlight} = this.#dependencies;
		const tokens = request.promptTokens + inFlight.estimateOutputTokens(request);
		demand.count(request.service, request.promptTokens, inFlight.estimateOutputTokens(request));
		const decision = callers.tryTake(request.caller, tokens);
		if (!decision.isWithinLimits) {
			throw this.#createRefusal(refusalReason.callerLimit, decision.waitMs, 'the caller is over its limit');
		}

		if (inFlight.size >= maxInFlight) {
			throw this.#createRefusal(refusalReason.queueFull, 1000, `${maxInFlight} requests are in progress here`);
		}
	}

	#isOnTime(request: RoutingRequest, {latency}: EstimatedPlacement): boolean {
		return this.#dependencies.timers.getNow() + (latency.endMs * this.#dependencies.inFlight.computeCorrection(request.service)) < request.deadlineAt;
	}

	#checkAdmission(request: RoutingRequest, {latency}: EstimatedPlacement): void {
		const {admission, callers, inFlight, timers} = this.#dependencies;
		if (!callers.tryPass(request.caller, latency.unloadedMs)) {
			throw this.#createRefusal(refusalReason.fairShare, latency.endMs, 'other callers have had less than their equal share');
		}

		const correction = inFlight.computeCorrection(request.service);
		const decision = admission.decide({
			service: request.service,
			isPrefillHeavy: latency.unloadedFirstTokenMs * 2 > latency.unloadedMs,
			remainingMs: request.deadlineAt - timers.getNow(),
			expectedMs: latency.endMs * correction,
			unloadedMs: latency.unloadedMs,
			isEngineIdle: latency.isIdle,
		});
		if (decision.isAdmitted) {
			return;
		}

		callers.onRefused();
		throw new NotRunError('the answer would be late', {props: {reason: decision.reason, retryAfterMs: decision.retryAfterMs}});
	}

	#createNoEngineRefusal(request: RoutingRequest): Error {
		const backoffLeftMs = this.#placementSelector.computeBackoffLeftMs(request.service);
		const reason = backoffLeftMs > 0 ? refusalReason.unavailable : refusalReason.noUpstream;
		return this.#createRefusal(reason, Math.max(backoffLeftMs, 1000), `no engine of ${request.service} takes work`);
	}

	#createRefusal(reason: RefusalReason, waitMs: number, message: string): Error {
		return new NotRunError(message, {props: {reason, retryAfterMs: computeRetryAfterMs(waitMs, this.#dependencies.random)}});
	}
}
