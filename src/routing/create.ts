import {DeadlineAdmission, UnlimitedAdmission} from '../admission/index.js';
import type {FactTable} from '../feed/index.js';
import {CallerGate, CallerLimiter, FairShares} from '../fairness/index.js';
import type {RandomSource} from '../rates/index.js';
import {RetryBudget} from '../retries/index.js';
import type {TimerService} from '../timers/index.js';
import {PrefixCacheIndex} from './prefixcache.js';
import {WeightedSelection} from './selection.js';
import type {SelectionStrategy} from './selection.js';
import {InFlightTable} from './inflight.js';
import {HealthTable} from './health.js';
import {EngineEstimate} from './engineestimate.js';
import {LatencyRouter} from './latencyrouter.js';
import {SpeedTable} from './speeds.js';
import type {FleetView} from './fleetview.js';
import type {DemandCounter} from './types.js';

/** What a router is made from. */
export type RoutingDependencies = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly demand: DemandCounter;
	/** Returns the share of the callers' limits that this entry grants, 0 to 1. */
	readonly getLocalShare: () => number;
	/** How one of several placements is selected; `WeightedSelection` by default. */
	readonly selection?: SelectionStrategy;
	/** Whether requests that can't be answered by their deadline are refused; true by default. */
	readonly hasAdmission?: boolean;
};

/** A router, and the tables of it that role planning and the load collector use too. */
export type Routing = {
	readonly router: LatencyRouter;
	readonly speeds: SpeedTable;
	readonly prefixCaches: PrefixCacheIndex;
};

/** Creates the router of an entry. It updates itself with the load reports and configurations among the facts. */
export function createRouting(dependencies: RoutingDependencies): Routing {
	const {timers, random, facts, view, demand, getLocalShare, selection = new WeightedSelection(random), hasAdmission = true} = dependencies;
	const engineEstimates = new Map<string, EngineEstimate>();
	const getEngineEstimate = (upstream: string) => {
		const engineEstimate = engineEstimates.get(upstream) ?? new EngineEstimate();
		engineEstimates.set(upstream, engineEstimate);
		return engineEstimate;
	};

	const speeds = new SpeedTable(timers);
	const prefixCaches = new PrefixCacheIndex();
	const health = new HealthTable(timers, random);
	const inFlight = new InFlightTable({
		timers, speeds, health, getEngineEstimate, getRole: upstream => view.getRole(upstream), countEntries: () => view.countEntries(),
	});
	const callers = new CallerGate({
		limiter: new CallerLimiter(timers),
		shares: new FairShares(timers, random),
		getLimits: () => view.deployment?.callers,
		getLocalShare,
	});
	facts.subscribe(fact => {
		if (fact.kind === 'load') {
			const report = facts.get('load', fact.key)!.value;
			if (getEngineEstimate(fact.key).onReport(report, timers.getNow())) {
				prefixCaches.forget(fact.key);
			}
		} else if (fact.kind === 'configuration') {
			const knownUpstreams = new Set(view.deployment?.upstreams.map(upstream => upstream.id));
			health.prune(knownUpstreams);
			for (const upstream of engineEstimates.keys()) {
				if (!knownUpstreams.has(upstream) && getEngineEstimate(upstream).inFlightCount === 0) {
					engineEstimates.delete(upstream);
				}
			}
		}
	});
	const router = new LatencyRouter({
		timers,
		random,
		view,
		selection,
		speeds,
		health,
		prefixCaches,
		inFlight,
		getEngineEstimate,
		admission: hasAdmission ? new DeadlineAdmission(timers, random) : new UnlimitedAdmission(),
		callers,
		retries: new RetryBudget(timers),
		demand,
	});
	return {router, speeds, prefixCaches};
}
