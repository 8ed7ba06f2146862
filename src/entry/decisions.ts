import process from 'node:process';
import type {Deployment} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import {DemandMeter} from '../loads/index.js';
import {computeScore, RandomSource} from '../rates/index.js';
import {
	createPolicy, FleetView, LeastInFlightRouter, RoundRobinRouter,
} from '../routing/index.js';
import type {Router} from '../routing/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {TimerService} from '../timers/index.js';

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
	readonly settings: EntrySettings;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly getDeployment: () => Deployment | undefined;
};

/** The decisions of an entry. */
export type Decisions = {
	readonly router: Router;
};

/** Puts the decisions of an entry together. */
export function createDecisions({settings, timers, facts, getDeployment}: DecisionOptions): Decisions {
	const view = new FleetView(facts, getDeployment, settings.domain);
	const name = process.env.CROCUS_POLICY;
	if (name === policyName.roundRobin || name === policyName.leastInFlight) {
		const list = (service: string) => view.listUpstreams(service);
		return {router: name === policyName.roundRobin ? new RoundRobinRouter(facts, list) : new LeastInFlightRouter(facts, list)};
	}

	const random = new RandomSource(computeScore(settings.vm, String(timers.getWall())));
	const {router} = createPolicy({
		timers,
		random,
		facts,
		view,
		demand: new DemandMeter(timers),
		getLocalShare: () => 1 / view.countEntries(),
		hasAdmission: name !== policyName.noAdmission,
	});
	return {router};
}
