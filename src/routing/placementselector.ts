import type {Upstream} from '../deployment/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import type {SelectionStrategy, ScoredCandidate} from './selection.js';
import {estimateLatency} from './latency.js';
import type {LatencyEstimate} from './latency.js';
import type {InFlightTable} from './inflight.js';
import type {HealthTable} from './health.js';
import type {EngineEstimate} from './engineestimate.js';
import type {SpeedTable} from './speeds.js';
import type {Placement, RoutingRequest} from './types.js';
import type {FleetView} from './fleetview.js';

/** A placement of a request, with its expected latency. */
export type EstimatedPlacement = {readonly placement: Placement; readonly latency: LatencyEstimate};

/** What placements are chosen by. */
export type PlacementSelectorDependencies = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly view: FleetView;
	readonly selection: SelectionStrategy;
	readonly speeds: SpeedTable;
	readonly health: HealthTable;
	readonly prefixCaches: PrefixCacheIndex;
	readonly inFlight: InFlightTable;
	readonly getEngineEstimate: (upstream: string) => EngineEstimate;
};

/** Weight of the delay that a prefill causes to the engine's other requests, relative to the request's own latency. */
const interferenceWeight = 1;
/** Share of the prefill time by which the home engine of a prompt's prefix is preferred. */
const homeAffinityWeight = 0.1;
/** Minimum prompt for which prefill and decode may run on two engines, in tokens. */
const minSplitPromptTokens = 1000;
/** Maximum cost of prefill and decode on two engines, relative to the cost on one. */
const maxSplitCostRatio = 0.9;
/** Time that relaying a request through another entry adds, in milliseconds. */
const relayCostMs = 10;
/** Share of the time to the deadline that an answer of another failure domain may be expected to take. */
const maxRemoteTimeShare = 0.8;

type Candidate = {readonly engine: Upstream; readonly latency: LatencyEstimate};

/** Chooses the engines where a request is expected to end soonest and to delay other requests least. */
export class PlacementSelector {
	readonly #dependencies: PlacementSelectorDependencies;

	constructor(dependencies: PlacementSelectorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Chooses a placement in this failure domain; `undefined` when no engine there can take the request. */
	chooseLocal(request: RoutingRequest, excluded: ReadonlySet<string>): EstimatedPlacement | undefined {
		const {view, selection} = this.#dependencies;
		const candidates = this.#listCandidates(request, excluded, engine => engine.domain === view.domain);
		if (candidates.length === 0) {
			return undefined;
		}

		const {candidate, cost} = selection.select(candidates.map(candidate => this.#computeCost(request, candidate)));
		const combined = {placement: {upstream: candidate.engine}, latency: candidate.latency};
		return this.#chooseSplit(request, candidates, cost) ?? combined;
	}

	/** Chooses a placement in another failure domain; `undefined` when none there is expected to answer by the deadline. */
	chooseRemote(request: RoutingRequest, excluded: ReadonlySet<string>): EstimatedPlacement | undefined {
		const {view, selection, timers, random, getEngineEstimate} = this.#dependencies;
		const remainingMs = (request.deadlineAt - timers.getNow()) * maxRemoteTimeShare;
		const candidates = this.#listCandidates(request, excluded, engine => engine.domain !== view.domain)
			.filter(({engine, latency}) => latency.endMs + relayCostMs < remainingMs && getEngineEstimate(engine.id).report !== undefined)
			.filter(({engine}) => view.listLiveMembers(engine.domain).length > 0);
		if (candidates.length === 0) {
			return undefined;
		}

		const {candidate: {engine, latency}} = selection.select(candidates.map(candidate => this.#computeCost(request, candidate)));
		const members = view.listLiveMembers(engine.domain);
		return {placement: {upstream: engine, relayAddress: members[random.pickIndex(members.length)]!.http}, latency};
	}

	/** Computes the time until the first backoff of an engine of the service ends, in milliseconds; 0 when none has a backoff. */
	computeBackoffLeftMs(service: string): number {
		const backoffs = this.#dependencies.view.listUpstreams(service).map(engine => this.#dependencies.health.computeBackoffLeftMs(engine.id)).filter(backoffMs => backoffMs > 0);
		return backoffs.length > 0 ? Math.min(...backoffs) : 0;
	}

	#listCandidates(request: RoutingRequest, excluded: ReadonlySet<string>, isEligible: (engine: Upstream) => boolean): Candidate[] {
		const {view, health} = this.#dependencies;
		return view.listUpstreams(request.service)
			.filter(engine => isEligible(engine) && !excluded.has(engine.id) && view.isAvailable(engine.id) && view.isCompatible(engine.id, request) && health.isAvailable(engine.id))
			.map(engine => ({engine, latency: this.#estimateLatency(engine, request)}));
	}

	#estimateLatency(engine: Upstream, request: RoutingRequest): LatencyEstimate {
		const {view, speeds, prefixCaches, inFlight, timers, getEngineEstimate} = this.#dependencies;
		const engineSpeeds = speeds.getSpeeds(request.service, engine.id, view.getRole(engine.id));
		const backlog = getEngineEstimate(engine.id).computeBacklog(timers.getNow(), 1 / engineSpeeds.prefill.slope, view.countEntries());
		const prefillTokens = request.promptTokens * (1 - prefixCaches.computeCachedShare(engine.id, request.prefixes));
		return estimateLatency({
			backlog, speeds: engineSpeeds, prefillTokens, outputTokens: inFlight.estimateOutputTokens(request),
		});
	}

	#computeCost(request: RoutingRequest, candidate: Candidate): ScoredCandidate<Candidate> {
		const {engine, latency} = candidate;
		const lateMs = Math.max(0, latency.firstTokenMs - (request.firstTokenTargetAt - this.#dependencies.timers.getNow()));
		const interferenceMs = latency.unloadedFirstTokenMs * latency.backlog.requestCount * interferenceWeight;
		const homeBonusMs = latency.unloadedFirstTokenMs * homeAffinityWeight * this.#dependencies.prefixCaches.computeHomeAffinity(engine.id, request.prefixes);
		return {candidate, cost: latency.endMs + lateMs + interferenceMs - homeBonusMs};
	}

	/** Chooses one engine to prefill and another to decode; `undefined` unless that costs clearly less than one engine for both. */
	#chooseSplit(request: RoutingRequest, candidates: readonly Candidate[], combinedCost: number): EstimatedPlacement | undefined {
		if (request.promptTokens < minSplitPromptTokens || candidates.length < 2) {
			return undefined;
		}

		const transferMs = this.#dependencies.inFlight.estimateTransferMs(request.promptTokens);
		const prefill = findCheapest(candidates, ({latency}) => latency.firstTokenMs + (latency.unloadedFirstTokenMs * latency.backlog.requestCount * interferenceWeight));
		const decode = findCheapest(candidates.filter(({engine}) => engine.id !== prefill.engine.id), ({latency}) => latency.tokenIntervalMs);
		const firstTokenMs = prefill.latency.firstTokenMs + transferMs;
		const endMs = firstTokenMs + (this.#dependencies.inFlight.estimateOutputTokens(request) * decode.latency.tokenIntervalMs);
		const lateMs = Math.max(0, firstTokenMs - (request.firstTokenTargetAt - this.#dependencies.timers.getNow()));
		const interferenceMs = prefill.latency.unloadedFirstTokenMs * prefill.latency.backlog.requestCount * interferenceWeight;
		if (endMs + lateMs + interferenceMs > combinedCost * maxSplitCostRatio) {
			return undefined;
		}

		return {
			placement: {upstream: decode.engine, prefillEngine: prefill.engine},
			latency: {
				...prefill.latency,
				firstTokenMs,
				endMs,
				tokenIntervalMs: decode.latency.tokenIntervalMs,
				backlog: {...prefill.latency.backlog, requestCount: decode.latency.backlog.requestCount},
			},
		};
	}
}

function findCheapest(candidates: readonly Candidate[], computeCost: (candidate: Candidate) => number): Candidate {
	return candidates.toSorted((left, right) => computeCost(left) - computeCost(right))[0]!;
}
