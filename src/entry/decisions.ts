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
	createRouting, FleetView, LiveMembers, LeastInFlightRouter, RoundRobinRouter,
} from '../routing/index.js';
import type {SelectionStrategy, Router} from '../routing/index.js';
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
export type DecisionOptions = {
	readonly settings: Pick<EntrySettings, 'vm' | 'domain'>;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly metrics: Metrics;
	readonly getDeployment: () => Deployment | undefined;
	readonly getEngine: (upstream: Upstream) => EngineClient;
	/** For runs that compare: the policy, in place of the environment's, the seed and the way of choosing. */
	readonly policy?: PolicyName;
	readonly seed?: number;
	readonly createChoice?: (random: RandomSource) => SelectionStrategy;
};

/** The decisions of an entry. */
export type Decisions = {
	readonly router: Router;
	readonly planner: RolePlanner;
	/** Begins to collect loads and to tell demand; the result ends that. */
	readonly start: () => () => void;
};

/** Puts the decisions of an entry together. */
export function createDecisions(options: DecisionOptions): Decisions {
	const {settings, timers, facts, getDeployment} = options;
	const name = options.policy ?? process.env.CROCUS_POLICY;
	const random = new RandomSource(options.seed ?? computeRendezvousScore(settings.vm, String(timers.getWallTime())));
	const heard = new LiveMembers(facts, timers, settings.domain);
	const view = new FleetView(facts, getDeployment, settings.domain, member => member.vm === settings.vm || heard.isLive(member));
	const meter = new DemandMeter(timers);
	const demand = new DemandView({
		timers, facts, view, vm: settings.vm,
	});
	const {router, speeds, prefixCaches: prefixes} = createRouting({
		timers,
		random,
		selection: options.createChoice?.(random),
		facts,
		view,
		demand: meter,
		getLocalShare: createShare(timers, () => computeShare(view, demand, meter)),
		hasAdmission: name !== policyName.noAdmission,
	});
	const planner = new FleetRolePlanner({
		timers, facts, view, speeds, demand,
	});
	const collector = new LoadCollector({
		...options, view, prefixes, vm: settings.vm,
	});
	const reporter = new DemandReporter({
		timers, facts, view, vm: settings.vm,
	}, meter);
	return {
		router: createBaseline(name, facts, view) ?? router,
		planner: isPlanning(name) ? planner : new FixedRolePlanner(),
		start() {
			const timersOfParts = [collector.start(), reporter.start()];
			const stopPlanner = planner.start();
			return () => {
				stopPlanner();
				for (const timer of timersOfParts) {
					timer.cancel();
				}
			};
		},
	};
}

function isPlanning(name: string | undefined): boolean {
	return name === undefined || name === policyName.full || name === policyName.noAdmission;
}

function createBaseline(name: string | undefined, facts: FactTable, view: FleetView): Router | undefined {
	const list = (service: string) => view.listUpstreams(service);
	if (name === policyName.roundRobin) {
		return new RoundRobinRouter(facts, list);
	}

	return name === policyName.leastInFlight ? new LeastInFlightRouter(facts, list) : undefined;
}

const shareAgeMs = 1000;

/** Returns a function that computes the part of the callers' limits at most once a second. */
function createShare(timers: TimerService, compute: () => number): () => number {
	let share = 1;
	let at = Number.NEGATIVE_INFINITY;
	return () => {
		const now = timers.getNow();
		if (now - at > shareAgeMs) {
			share = compute();
			at = now;
		}

		return share;
	};
}

/** Computes this entry's part of the callers' limits from the live entries and from what it was asked for. */
function computeShare(view: FleetView, demand: DemandView, meter: DemandMeter): number {
	const domains = view.deployment?.domains ?? [];
	let entries = 0;
	for (const domain of domains) {
		entries += view.listLiveMembers(domain).length;
	}

	let own = 0;
	let total = 0;
	for (const service of meter.listServices()) {
		own += meter.compute(service).requestsPerSecond;
		total += demand.compute(service).requestsPerSecond;
	}

	return computeLocalShare(entries, own, total);
}
