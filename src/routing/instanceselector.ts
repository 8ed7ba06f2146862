import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {TwoChoicesSelection} from './selection.js';
import type {HealthTable} from './health.js';
import type {EngineEstimate} from './engineestimate.js';
import type {FleetView} from './fleetview.js';

/** What an instance is chosen by. */
export type InstanceSelectorDependencies = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly view: FleetView;
	readonly health: HealthTable;
	readonly getEngineEstimate: (upstream: string) => EngineEstimate;
	readonly countInFlight: (upstream: string) => number;
};

/** Chooses instances of application services: the less busy of two picked at random, from this failure domain if possible. */
export class InstanceSelector {
	readonly #dependencies: InstanceSelectorDependencies;
	readonly #selection: TwoChoicesSelection;

	constructor(dependencies: InstanceSelectorDependencies) {
		this.#dependencies = dependencies;
		this.#selection = new TwoChoicesSelection(dependencies.random);
	}

	/** Chooses an instance, except those with the ids in `excluded`. Throws `NotRunError` when none is available. */
	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		const {view, health} = this.#dependencies;
		const available = view.listUpstreams(service).filter(upstream => !excluded.has(upstream.id) && view.isAvailable(upstream.id));
		const healthy = available.filter(upstream => health.isAvailable(upstream.id));
		const local = healthy.filter(upstream => upstream.domain === view.domain);
		const candidates = local.length > 0 ? local : healthy;
		if (candidates.length === 0) {
			const backoffs = available.map(upstream => health.computeBackoffLeftMs(upstream.id));
			throw new NotRunError(`no instance of ${service} takes work`, {
				props: {reason: available.length > 0 ? refusalReason.unavailable : refusalReason.noUpstream, retryAfterMs: Math.max(1000, ...backoffs)},
			});
		}

		return this.#selection.select(candidates.map(candidate => ({candidate, cost: this.#countRequests(candidate.id)}))).candidate;
	}

	#countRequests(upstream: string): number {
		const {timers, view, getEngineEstimate, countInFlight} = this.#dependencies;
		return Math.max(countInFlight(upstream), getEngineEstimate(upstream).computeBacklog(timers.getNow(), 1, view.countEntries()).requestCount);
	}
}
