import {engineRole, serviceKind} from '../deployment/index.js';
import type {EngineRole, ModelService, Upstream} from '../deployment/index.js';
import {upstreamState} from '../feed/index.js';
import type {FactTable} from '../feed/index.js';
import type {DemandView} from '../loads/index.js';
import type {FleetView, SpeedTable} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import {compareCandidates, listCandidates} from './candidates.js';
import type {Candidate, PlannedEngine} from './candidates.js';
import type {EngineRates} from './capacity.js';
import {Forecast} from './forecast.js';
import {RolePlanner} from './planner.js';
import type {RoleChange} from './planner.js';

/** Time for which a plan is made, in milliseconds. */
const windowMs = 60_000;
/** Time that a change is taken to cost: the drain and the time away, in milliseconds. */
const changeMs = 8000;
/** How often the demand is looked at, in milliseconds. */
const samplePeriodMs = 1000;
/** A closing upstream that takes longer than this was not closed for a change of role. */
const longestChangeMs = 60_000;

/** Time that a domain waits for each other one whose change is worth more, in milliseconds. */
const rankMs = 3000;

/** Setting from fewest changes (0) to highest goodput (1), turned into thresholds. */
const leastWorth = {atGoodput: 0.01, atFewest: 0.12};
const steadyMs = {atGoodput: 1000, atFewest: 10_000};
const pauseMs = {atGoodput: 1000, atFewest: 30_000};

/** What the planner decides from. */
export type PlannerParts = {
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
	readonly #parts: PlannerParts;
	readonly #forecast: Forecast;
	readonly #changing = new Map<string, number>();
	#wantedSince: number | undefined;
	#lastChangeAt = Number.NEGATIVE_INFINITY;

	constructor(parts: PlannerParts) {
		super();
		this.#parts = parts;
		this.#forecast = new Forecast(parts.timers);
		parts.facts.subscribe(fact => {
			if (fact.kind === 'upstream') {
				this.#onUpstream(fact.key);
			}
		});
	}

	/** Begins to follow the demand; the result ends that. */
	start(): () => void {
		const timer = this.#parts.timers.startInterval(samplePeriodMs, () => {
			this.updateDemand();
		});
		return () => {
			timer.cancel();
		};
	}

	/** Takes in the demand of this moment. */
	updateDemand(): void {
		for (const service of this.#listServices()) {
			for (const domain of this.#listDomains()) {
				const {promptTokensPerSecond: prompt, outputTokensPerSecond: output} = this.#parts.demand.compute(service.name, domain);
				this.#forecast.update(`${domain}/${service.name}`, {prompt, output});
			}
		}
	}

	planChange(): RoleChange | undefined {
		const best = this.#isStill() ? undefined : this.#findBest();
		if (!best) {
			this.#wantedSince = undefined;
			return undefined;
		}

		const now = this.#parts.timers.getNow();
		this.#wantedSince ??= now;
		// Other domains' authorities know slightly other figures: who ranks lower waits longer instead of for ever.
		if (now - this.#wantedSince < this.#computeLimit(steadyMs) + (best.rank * rankMs)) {
			return undefined;
		}

		const {engine, role, before, after, worth} = best.candidate;
		this.#wantedSince = undefined;
		this.#lastChangeAt = now;
		return {
			upstream: engine.id,
			role,
			reason: `answers of ${engine.domain} in time: ${formatShare(before)} as ${engine.role}, ${formatShare(after)} as ${role}; `
				+ `worth ${formatShare(worth)} of all in the next ${windowMs / 1000} s`,
		};
	}

	/** Says whether nothing may change now: a change is going on, was just made, or the rest of the fleet is out of sight. */
	#isStill(): boolean {
		const now = this.#parts.timers.getNow();
		const isChanging = [...this.#changing.values()].some(since => now - since < longestChangeMs);
		return isChanging || now - this.#lastChangeAt < this.#computeLimit(pauseMs) || this.#isCutOff();
	}

	#isCutOff(): boolean {
		const {view} = this.#parts;
		const others = this.#listDomains().filter(domain => domain !== view.domain);
		return others.length > 0 && others.every(domain => view.listLiveMembers(domain).length === 0);
	}

	/** Finds the best change of this domain, and how many other domains have a better one. */
	#findBest(): {readonly candidate: Candidate; readonly rank: number} | undefined {
		const haste = this.#getGoodputWeight();
		const least = this.#computeLimit(leastWorth);
		const all = this.#listServices().flatMap(service => listCandidates({
			service,
			engines: this.#listEngines(service),
			demands: new Map(this.#listDomains().map(domain => [domain, this.#forecast.compute(`${domain}/${service.name}`, haste)])),
			awayShare: changeMs / windowMs,
		}));
		const candidates = all
			.filter(candidate => candidate.worth >= least && this.#isInSight(candidate.engine.domain))
			.toSorted(compareCandidates);
		const index = candidates.findIndex(candidate => candidate.engine.domain === this.#parts.view.domain);
		const candidate = candidates[index];
		return candidate && {candidate, rank: new Set(candidates.slice(0, index).map(({engine}) => engine.domain)).size};
	}

	#isInSight(domain: string): boolean {
		return domain === this.#parts.view.domain || this.#parts.view.listLiveMembers(domain).length > 0;
	}

	#listDomains(): readonly string[] {
		return this.#parts.view.deployment?.domains ?? [];
	}

	#listServices(): ModelService[] {
		return this.#parts.view.deployment?.services.filter(service => service.kind === serviceKind.model) ?? [];
	}

	#listEngines(service: ModelService): PlannedEngine[] {
		const {view} = this.#parts;
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

	/** Reads an engine's learned speeds as tokens a second; engines of more pieces count for as much more. */
	#computeRates(service: ModelService, upstream: Upstream, role: EngineRole, meanPieces: number): EngineRates {
		const {prefill, decode} = this.#parts.speeds.getPeakRates(service.name, role);
		const size = upstream.pieces / meanPieces;
		return {prefill: size * prefill * 1000, decode: size * decode * 1000};
	}

	#onUpstream(id: string): void {
		const state = this.#parts.facts.get('upstream', id)?.value.state;
		if (state !== upstreamState.closing && state !== upstreamState.away) {
			this.#changing.delete(id);
		} else if (!this.#changing.has(id)) {
			this.#changing.set(id, this.#parts.timers.getNow());
		}
	}

	#getGoodputWeight(): number {
		return this.#parts.view.deployment?.goodputWeight ?? 0;
	}

	#computeLimit(limit: {readonly atGoodput: number; readonly atFewest: number}): number {
		const weight = this.#getGoodputWeight();
		return (limit.atGoodput * weight) + (limit.atFewest * (1 - weight));
	}
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(0)}%`;
}
