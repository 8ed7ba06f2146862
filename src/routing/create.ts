import {DeadlineAdmission, UnlimitedAdmission} from '../admission/index.js';
import type {FactTable} from '../feed/index.js';
import {CallerGate, CallerLimiter, FairShares} from '../fairness/index.js';
import type {RandomSource} from '../rates/index.js';
import {RetryBudget} from '../retries/index.js';
import type {TimerService} from '../timers/index.js';
import {PrefixTable} from './affinity.js';
import {WeightedChoice} from './choice.js';
import type {Choice} from './choice.js';
import {Flights} from './flights.js';
import {HealthTable} from './health.js';
import {EnginePicture} from './picture.js';
import {PolicyRouter} from './policy.js';
import {SpeedTable} from './speeds.js';
import type {FleetView} from './views.js';
import type {DemandCounter} from './types.js';

/** What a policy is made from. */
export type PolicyOptions = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly demand: DemandCounter;
	/** Part of the callers' limits that this entry gives out. */
	readonly getLocalShare: () => number;
	/** How one of several places is chosen; weighted by default. */
	readonly choice?: Choice;
	/** Whether what can't be in time is refused; true by default. */
	readonly hasAdmission?: boolean;
};

/** A router with the parts that others use as well. */
export type Policy = {
	readonly router: PolicyRouter;
	readonly speeds: SpeedTable;
	readonly prefixes: PrefixTable;
};

/** Puts the router of a process together; it takes in load reports from the facts by itself. */
export function createPolicy(options: PolicyOptions): Policy {
	const {timers, random, facts, view, demand, getLocalShare, choice = new WeightedChoice(random), hasAdmission = true} = options;
	const pictures = new Map<string, EnginePicture>();
	const getPicture = (upstream: string) => {
		const picture = pictures.get(upstream) ?? new EnginePicture();
		pictures.set(upstream, picture);
		return picture;
	};

	const speeds = new SpeedTable(timers);
	const prefixes = new PrefixTable();
	const health = new HealthTable(timers, random);
	const flights = new Flights({
		timers, speeds, health, getPicture, getRole: upstream => view.getRole(upstream), countEntries: () => view.countEntries(),
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
			if (getPicture(fact.key).onReport(report, timers.getNow())) {
				prefixes.forget(fact.key);
			}
		} else if (fact.kind === 'configuration') {
			const known = new Set(view.deployment?.upstreams.map(upstream => upstream.id));
			health.forget(known);
			for (const upstream of pictures.keys()) {
				if (!known.has(upstream) && getPicture(upstream).running === 0) {
					pictures.delete(upstream);
				}
			}
		}
	});
	const router = new PolicyRouter({
		timers,
		random,
		view,
		choice,
		speeds,
		health,
		prefixes,
		flights,
		getPicture,
		admission: hasAdmission ? new DeadlineAdmission(timers, random) : new UnlimitedAdmission(),
		callers,
		retries: new RetryBudget(timers),
		demand,
	});
	return {router, speeds, prefixes};
}
