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

/** Time for which a plan is made, in milliseconds. */
const planningWindowMs = 60_000;
/** Time that a change is taken to cost: the drain and the time away, in milliseconds. */
const changeCostMs = 8000;
/** How often the demand is looked at, in milliseconds. */
const sampleIntervalMs = 1000;
/** A closing upstream that takes longer than this was not closed for a change of role. */
const maxChangeMs = 60_000;

/** Time that a domain waits for each other one whose change is worth more, in milliseconds. */
const rankDelayMs = 3000;

/** Setting from fewest changes (0) to highest goodput (1), turned into thresholds. */
const minNetGain = {atHighestGoodput: 0.01, atFewestChanges: 0.12};
const stabilizationMs = {atHighestGoodput: 1000, atFewestChanges: 10_000};
const cooldownMs = {atHighestGoodput: 1000, atFewestChanges: 30_000};

/** What the planner decides from. */
export type FleetRolePlannerDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly speeds: SpeedTable;
	readonly demand: DemandView;
};

/**
Plans for the engines of its own failure domain from what all domains ask for. Every domain's authority ranks the
whole fleet's possible changes alike and moves only if the first one is its own; while any engine is changing, and
while all other domains are out of sight, it waits.
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

	/** Begins to follow the demand; the result ends that. */
	start(): () => void {
		const timer = this.#dependencies.timers.startInterval(sampleIntervalMs, () => {
			this.sampleDemand();
		});
		return () => {
			timer.cancel();
		};
	}

	/** Takes in the demand of this moment. */
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
		// Other domains' authorities know slightly other figures: who ranks lower waits longer instead of for ever.
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

	/** Says whether nothing may change now: a change is going on, was just made, or the rest of the fleet is out of sight. */
	#isBlocked(): boolean {
		const now = this.#dependencies.timers.getNow();
		const isChanging = [...this.#changingSince.values()].some(since => now - since < maxChangeMs);
		return isChanging || now - this.#lastChangeAt < this.#computeThreshold(cooldownMs) || this.#isIsolated();
	}

	#isIsolated(): boolean {
		const {view} = this.#dependencies;
		const otherDomains = this.#listDomains().filter(domain => domain !== view.domain);
		return otherDomains.length > 0 && otherDomains.every(domain => view.listMembers(domain).length === 0);
	}

	/** Finds the best change of this domain, and how many other domains have a better one. */
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
		return domain === this.#dependencies.view.domain || this.#dependencies.view.listMembers(domain).length > 0;
	}

	#listDomains(): readonly string[] {
		return this.#dependencies.view.deployment?.domains ?? [];
	}

	#listServices(): ModelService[] {
		return this.#dependencies.view.deployment?.services.filter(service => service.kind === serviceKind.model) ?? [];
	}

	#listEngines(service: ModelService): PlannedEngine[] {
		const {view} = this.#dependencies;
		const upstreams = view.listUpstreams(service.name).filter(upstream => view.isOpen(upstream.id));
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

	/** Reads an engine's learned speeds as tokens a second; engines of more pieces count for as much more. */
	#computeRates(service: ModelService, upstream: Upstream, role: EngineRole, meanPieces: number): EngineRates {
		const {prefill, decode} = this.#dependencies.speeds.getPeaks(service.name, role);
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
