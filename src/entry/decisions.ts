import process from 'node:process';
import type {Deployment, Upstream} from '../deployment/index.js';
import {InvalidTextError} from '../errors/index.js';
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
	createRouting, FleetView, LiveMembers, LeastInFlightRouter, RoundRobinRouter,
} from '../routing/index.js';
import type {SelectionStrategy, Router} from '../routing/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient} from '../upstreams/index.js';

/**
Policies that the load tool can select with the environment variable `CROCUS_POLICY`, so that baselines run in the same
program. Without a value, `full` applies; an unknown value stops the start.
*/
export const policyName = {
	full: 'full',
	roundRobin: 'round_robin',
	leastInFlight: 'least_in_flight',
	/** Like `full`, but engines never change roles. */
	fixedRoles: 'fixed_roles',
	/** Like `full`, but no request is refused because it would miss its deadline. */
	noAdmission: 'no_admission',
} as const;

/** See {@link policyName}. */
export type PolicyName = (typeof policyName)[keyof typeof policyName];

/** What the decisions of an entry are created from. */
export type DecisionDependencies = {
	readonly settings: Pick<EntrySettings, 'vm' | 'domain'>;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly metrics: Metrics;
	readonly getDeployment: () => Deployment | undefined;
	readonly getEngine: (upstream: Upstream) => EngineClient;
	/** For runs that compare policies: replaces the policy of `CROCUS_POLICY`. */
	readonly policy?: PolicyName;
	/** For reproducible runs: seed of the random numbers. By default it comes from the VM's name and the time. */
	readonly seed?: number;
	/** For runs that compare: replaces the way in which an engine is chosen. */
	readonly createChoice?: (random: RandomSource) => SelectionStrategy;
};

/** Objects that decide for an entry where requests go and which role each engine has. */
export type Decisions = {
	readonly router: Router;
	readonly planner: RolePlanner;
	/** Starts to collect loads, publish demand and plan roles; returns the function that stops all of it. */
	readonly start: () => () => void;
};

/** Creates the objects that decide for an entry; nothing runs until `start`. */
export function createDecisions(dependencies: DecisionDependencies): Decisions {
	const {settings, timers, facts, getDeployment} = dependencies;
	const policy = dependencies.policy ?? parsePolicy(process.env.CROCUS_POLICY);
	const random = new RandomSource(dependencies.seed ?? computeRendezvousScore(settings.vm, String(timers.getWallTime())));
	const liveMembers = new LiveMembers(facts, timers, settings.domain);
	const fleetView = new FleetView(facts, getDeployment, settings.domain, member => member.vm === settings.vm || liveMembers.isLive(member));
	const demandMeter = new DemandMeter(timers);
	const demandView = new DemandView({
		timers, facts, view: fleetView, vm: settings.vm,
	});
	const {router, speeds, prefixCaches: prefixes} = createRouting({
		timers,
		random,
		selection: dependencies.createChoice?.(random),
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

/** Parses the value of `CROCUS_POLICY`. Throws `InvalidTextError` when it is not the name of a policy. */
export function parsePolicy(value: string | undefined): PolicyName {
	const names: readonly string[] = Object.values(policyName);
	if (value !== undefined && !names.includes(value)) {
		throw new InvalidTextError(`CROCUS_POLICY is "${value}"; allowed: ${names.join(', ')}`);
	}

	return (value ?? policyName.full) as PolicyName;
}

function hasRolePlanning(policy: PolicyName): boolean {
	return policy === policyName.full || policy === policyName.noAdmission;
}

function createBaseline(policy: PolicyName, facts: FactTable, fleetView: FleetView): Router | undefined {
	const listUpstreams = (service: string) => fleetView.listUpstreams(service);
	if (policy === policyName.roundRobin) {
		return new RoundRobinRouter(facts, listUpstreams);
	}

	return policy === policyName.leastInFlight ? new LeastInFlightRouter(facts, listUpstreams) : undefined;
}

/** Age from which the share of the callers' limits is computed again, in milliseconds. */
const maxShareAgeMs = 1000;

/** Returns a function that returns the cached share of the callers' limits, and computes it when it is older than `maxShareAgeMs`. */
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

/** Computes the share of each caller's limits that this entry may grant, from the number of live entries and its share of all requests. */
function computeLimitShare(fleetView: FleetView, demandView: DemandView, demandMeter: DemandMeter): number {
	const domains = fleetView.deployment?.domains ?? [];
	let entryCount = 0;
	for (const domain of domains) {
		entryCount += fleetView.listLiveMembers(domain).length;
	}

	let localRequestsPerSecond = 0;
	let totalRequestsPerSecond = 0;
	for (const service of demandMeter.listServices()) {
		localRequestsPerSecond += demandMeter.compute(service).requestsPerSecond;
		totalRequestsPerSecond += demandView.compute(service).requestsPerSecond;
	}

	return computeLocalShare(entryCount, localRequestsPerSecond, totalRequestsPerSecond);
}
