import {engineRole, serviceKind} from '../deployment/index.js';
import type {EngineRole, ModelService, Upstream} from '../deployment/index.js';
import {upstreamState} from '../feed/index.js';
import type {FactTable} from '../feed/index.js';
import type {DemandView} from '../loads/index.js';
import type {FleetView, SpeedTable} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import {compareCandidates, listCandidates} from './candidates.js';
import type {RoleChangeCandidate, PlannedEngine} from './candidates.js';
import type {EngineRates} from './capacity.js';
import {DemandForecast} from './forecast.js';
import {RolePlanner} from './planner.js';
import type {RoleChange} from './planner.js';

/** Time over which the gain of a change is computed, in milliseconds. */
const planningWindowMs = 60_000;
/** Time for which a change is assumed to take an engine out of service, in milliseconds: its drain and the time that it is away. */
const changeCostMs = 8000;
const sampleIntervalMs = 1000;
/** Maximum duration of a change, in milliseconds: an upstream that is closing or away for longer is so for another reason and blocks no changes. */
const maxChangeMs = 60_000;

/** Time that a domain waits for each other domain whose best change ranks higher, in milliseconds. */
const rankDelayMs = 3000;

// Thresholds for a goodput weight of 1 (highest goodput) and of 0 (fewest changes); for other weights they are interpolated.

/** Minimum net gain of a change. */
const minNetGain = {atHighestGoodput: 0.01, atFewestChanges: 0.12};
/** Time for which there must have been a worthwhile change before one is made, in milliseconds. */
const stabilizationMs = {atHighestGoodput: 1000, atFewestChanges: 10_000};
/** Minimum time between two changes of this domain, in milliseconds. */
const cooldownMs = {atHighestGoodput: 1000, atFewestChanges: 30_000};

/** Dependencies of {@link FleetRolePlanner}. */
export type FleetRolePlannerDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly speeds: SpeedTable;
	readonly demand: DemandView;
};

/**
Plans role changes for the engines of its own failure domain from the demand of all domains. The authorities of all
domains rank the possible changes of the whole fleet alike; each makes its own best change, after a delay for each other
domain that ranks higher. No change is planned while an engine of any domain is changing, or while no entry of any other
domain is live.
*/
export class FleetRolePlanner extends RolePlanner {
	readonly #dependencies: FleetRolePlannerDependencies;
	readonly #forecast: DemandForecast;
	readonly #changingSince = new Map<string, number>();
	#candidateSince: number | undefined;
	#lastChangeAt = Number.NEGATIVE_INFINITY;

	constructor(dependencies: FleetRolePlannerDependencies) {
		super();
		this.#dependencies = dependencies;
		this.#forecast = new DemandForecast(dependencies.timers);
		dependencies.facts.subscribe(fact => {
			if (fact.kind === 'upstream') {
				this.#onUpstreamFact(fact.key);
			}
		});
	}

	/** Starts to sample the demand; the returned function stops it. */
	start(): () => void {
		const timer = this.#dependencies.timers.startInterval(sampleIntervalMs, () => {
			this.sampleDemand();
		});
		return () => {
			timer.cancel();
		};
	}

	/** Adds the present demand of all services and domains to the forecast. */
	sampleDemand(): void {
		for (const service of this.#listServices()) {
			for (const domain of this.#listDomains()) {
				const {promptTokensPerSecond: prompt, outputTokensPerSecond: output} = this.#dependencies.demand.compute(service.name, domain);
				this.#forecast.update(`${domain}/${service.name}`, {prompt, output});
			}
		}
	}

	planChange(): RoleChange | undefined {
		const best = this.#isBlocked() ? undefined : this.#findBestCandidate();
		if (!best) {
			this.#candidateSince = undefined;
			return undefined;
		}

		const now = this.#dependencies.timers.getNow();
		this.#candidateSince ??= now;
		// Other authorities' figures differ slightly and may rank another change first, so a lower rank delays a change and doesn't prevent it.
		if (now - this.#candidateSince < this.#computeThreshold(stabilizationMs) + (best.rank * rankDelayMs)) {
			return undefined;
		}

		const {engine, role, goodputBefore, goodputAfter, netGain} = best.candidate;
		this.#candidateSince = undefined;
		this.#lastChangeAt = now;
		return {
			upstream: engine.id,
			role,
			reason: `answers of ${engine.domain} in time: ${formatPercentage(goodputBefore)} as ${engine.role}, ${formatPercentage(goodputAfter)} as ${role}; `
				+ `worth ${formatPercentage(netGain)} of all in the next ${planningWindowMs / 1000} s`,
		};
	}

	/** Returns whether no change may be planned now: one is in progress or was just planned, or no entry of any other domain is live. */
	#isBlocked(): boolean {
		const now = this.#dependencies.timers.getNow();
		const isChanging = [...this.#changingSince.values()].some(since => now - since < maxChangeMs);
		return isChanging || now - this.#lastChangeAt < this.#computeThreshold(cooldownMs) || this.#isIsolated();
	}

	#isIsolated(): boolean {
		const {view} = this.#dependencies;
		const otherDomains = this.#listDomains().filter(domain => domain !== view.domain);
		return otherDomains.length > 0 && otherDomains.every(domain => view.listLiveMembers(domain).length === 0);
	}

	/** Finds the best change in this domain, and its rank: the number of other domains with a better one. */
	#findBestCandidate(): {readonly candidate: RoleChangeCandidate; readonly rank: number} | undefined {
		const recencyWeight = this.#getGoodputWeight();
		const minGain = this.#computeThreshold(minNetGain);
		const allCandidates = this.#listServices().flatMap(service => listCandidates({
			service,
			engines: this.#listEngines(service),
			demands: new Map(this.#listDomains().map(domain => [domain, this.#forecast.compute(`${domain}/${service.name}`, recencyWeight)])),
			unavailableShare: changeCostMs / planningWindowMs,
		}));
		const candidates = allCandidates
			.filter(candidate => candidate.netGain >= minGain && this.#isDomainReachable(candidate.engine.domain))
			.toSorted(compareCandidates);
		const index = candidates.findIndex(candidate => candidate.engine.domain === this.#dependencies.view.domain);
		const candidate = candidates[index];
		return candidate && {candidate, rank: new Set(candidates.slice(0, index).map(({engine}) => engine.domain)).size};
	}

	#isDomainReachable(domain: string): boolean {
		return domain === this.#dependencies.view.domain || this.#dependencies.view.listLiveMembers(domain).length > 0;
	}

	#listDomains(): readonly string[] {
		return this.#dependencies.view.deployment?.domains ?? [];
	}

	#listServices(): ModelService[] {
		return this.#dependencies.view.deployment?.services.filter(service => service.kind === serviceKind.model) ?? [];
	}

	#listEngines(service: ModelService): PlannedEngine[] {
		const {view} = this.#dependencies;
		const upstreams = view.listUpstreams(service.name).filter(upstream => view.isAvailable(upstream.id));
		const meanPieces = Math.max(1, upstreams.reduceRight((sum, upstream) => sum + upstream.pieces, 0) / Math.max(1, upstreams.length));
		return upstreams.map(upstream => ({
			id: upstream.id,
			domain: upstream.domain,
			role: view.getRole(upstream.id),
			rates: {
				[engineRole.prefill]: this.#computeRates(service, upstream, engineRole.prefill, meanPieces),
				[engineRole.decode]: this.#computeRates(service, upstream, engineRole.decode, meanPieces),
				[engineRole.mixed]: this.#computeRates(service, upstream, engineRole.mixed, meanPieces),
			},
		}));
	}

	/**
	Computes an engine's rates in a role from the measured peak rates of that role; they scale with the engine's KV cache,
	which is counted in pieces of 1,000 tokens.
	*/
	#computeRates(service: ModelService, upstream: Upstream, role: EngineRole, meanPieces: number): EngineRates {
		const {prefill, decode} = this.#dependencies.speeds.getPeakRates(service.name, role);
		const relativeSize = upstream.pieces / meanPieces;
		return {prefill: relativeSize * prefill * 1000, decode: relativeSize * decode * 1000};
	}

	#onUpstreamFact(id: string): void {
		const state = this.#dependencies.facts.get('upstream', id)?.value.state;
		if (state !== upstreamState.closing && state !== upstreamState.away) {
			this.#changingSince.delete(id);
		} else if (!this.#changingSince.has(id)) {
			this.#changingSince.set(id, this.#dependencies.timers.getNow());
		}
	}

	#getGoodputWeight(): number {
		return this.#dependencies.view.deployment?.goodputWeight ?? 0;
	}

	#computeThreshold(threshold: {readonly atHighestGoodput: number; readonly atFewestChanges: number}): number {
		const weight = this.#getGoodputWeight();
		return (threshold.atHighestGoodput * weight) + (threshold.atFewestChanges * (1 - weight));
	}
}

function formatPercentage(share: number): string {
	return `${(share * 100).toFixed(0)}%`;
}
