import process from 'node:process';
import type {Deployment, Upstream} from '../deployment/index.js';
import {computeLocalShare} from '../fairness/index.js';
import type {FactTable} from '../feed/index.js';
import {
	DemandMeter, DemandReporter, DemandView, LoadCollector,
} from '../loads/index.js';
import type {Metrics} from '../metrics/index.js';
import {FleetRolePlanner, FixedRolePlanner} from '../planning/index.js';
import type {RolePlanner} from '../planning/index.js';
import {computeRendezvousScore, RandomSource} from '../rates/index.js';
import {
	createPolicy, FleetView, HeardMembers, LeastInFlightRouter, RoundRobinRouter,
} from '../routing/index.js';
import type {Choice, Router} from '../routing/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient} from '../upstreams/index.js';

/**
The policies that a run of the load tool can ask for by the environment's `CROCUS_POLICY`, so that baselines run in the
same program. Anything else, and no value, is `full`.
*/
export const policyName = {
	full: 'full',
	roundRobin: 'round_robin',
	leastInFlight: 'least_in_flight',
	/** Everything but changes of role. */
	fixedRoles: 'fixed_roles',
	/** Everything but refusals by deadline. */
	noAdmission: 'no_admission',
} as const;

/** See {@link policyName}. */
export type PolicyName = (typeof policyName)[keyof typeof policyName];

/** What the decisions are made from. */
export type DecisionDependencies = {
	readonly settings: Pick<EntrySettings, 'vm' | 'domain'>;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly metrics: Metrics;
	readonly getDeployment: () => Deployment | undefined;
	readonly getEngine: (upstream: Upstream) => EngineClient;
	/** For runs that compare: the policy, in place of the environment's, the seed and the way of choosing. */
	readonly policy?: PolicyName;
	readonly seed?: number;
	readonly createChoice?: (random: RandomSource) => Choice;
};

/** The decisions of an entry. */
export type Decisions = {
	readonly router: Router;
	readonly planner: RolePlanner;
	/** Begins to collect loads and to tell demand; the result ends that. */
	readonly start: () => () => void;
};

/** Puts the decisions of an entry together. */
export function createDecisions(dependencies: DecisionDependencies): Decisions {
	const {settings, timers, facts, getDeployment} = dependencies;
	const policy = dependencies.policy ?? process.env.CROCUS_POLICY;
	const random = new RandomSource(dependencies.seed ?? computeRendezvousScore(settings.vm, String(timers.getWallTime())));
	const liveMembers = new HeardMembers(facts, timers, settings.domain);
	const fleetView = new FleetView(facts, getDeployment, settings.domain, member => member.vm === settings.vm || liveMembers.isHeard(member));
	const demandMeter = new DemandMeter(timers);
	const demandView = new DemandView({
		timers, facts, view: fleetView, vm: settings.vm,
	});
	const {router, speeds, prefixes} = createPolicy({
		timers,
		random,
		choice: dependencies.createChoice?.(random),
		facts,
		view: fleetView,
		demand: demandMeter,
		getLocalShare: createCachedShare(timers, () => computeLimitShare(fleetView, demandView, demandMeter)),
		hasAdmission: policy !== policyName.noAdmission,
	});
	const planner = new FleetRolePlanner({
		timers, facts, view: fleetView, speeds, demand: demandView,
	});
	const collector = new LoadCollector({
		...dependencies, view: fleetView, prefixes, vm: settings.vm,
	});
	const reporter = new DemandReporter({
		timers, facts, view: fleetView, vm: settings.vm,
	}, demandMeter);
	return {
		router: createBaseline(policy, facts, fleetView) ?? router,
		planner: hasRolePlanning(policy) ? planner : new FixedRolePlanner(),
		start() {
			const intervals = [collector.start(), reporter.start()];
			const stopPlanner = planner.start();
			return () => {
				stopPlanner();
				for (const timer of intervals) {
					timer.cancel();
				}
			};
		},
	};
}

function hasRolePlanning(policy: string | undefined): boolean {
	return policy === undefined || policy === policyName.full || policy === policyName.noAdmission;
}

function createBaseline(policy: string | undefined, facts: FactTable, fleetView: FleetView): Router | undefined {
	const listUpstreams = (service: string) => fleetView.listUpstreams(service);
	if (policy === policyName.roundRobin) {
		return new RoundRobinRouter(facts, listUpstreams);
	}

	return policy === policyName.leastInFlight ? new LeastInFlightRouter(facts, listUpstreams) : undefined;
}

const maxShareAgeMs = 1000;

/** Returns a function that computes the part of the callers' limits at most once a second. */
function createCachedShare(timers: TimerService, compute: () => number): () => number {
	let share = 1;
	let computedAt = Number.NEGATIVE_INFINITY;
	return () => {
		const now = timers.getNow();
		if (now - computedAt > maxShareAgeMs) {
			share = compute();
			computedAt = now;
		}

		return share;
	};
}

/** Computes this entry's part of the callers' limits from the live entries and from what it was asked for. */
function computeLimitShare(fleetView: FleetView, demandView: DemandView, demandMeter: DemandMeter): number {
	const domains = fleetView.deployment?.domains ?? [];
	let entryCount = 0;
	for (const domain of domains) {
		entryCount += fleetView.listMembers(domain).length;
	}

	let localRequestsPerSecond = 0;
	let totalRequestsPerSecond = 0;
	for (const service of demandMeter.listServices()) {
		localRequestsPerSecond += demandMeter.compute(service).requestsPerSecond;
		totalRequestsPerSecond += demandView.compute(service).requestsPerSecond;
	}

	return computeLocalShare(entryCount, localRequestsPerSecond, totalRequestsPerSecond);
}
