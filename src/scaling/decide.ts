import type {EngineOrder} from '../duties/index.js';
import {computeNeed} from './need.js';
import type {EngineNeed} from './need.js';
import {planEngines, sumPlan} from './plan.js';
import type {DomainPlan} from './plan.js';
import type {EngineGroup, ScalingFacts} from './types.js';

/** Share of the engines of a kind that are removed in one step: what they held of shared prompts is read again by the others. */
const maxRemovedShare = 0.25;

/** What was decided, with the inputs that count. */
export type ScalingDecision = {
	/** Numbers to order that differ from what is ordered now. */
	readonly orders: readonly EngineOrder[];
	/** `undefined` where the load is not known. */
	readonly need: EngineNeed | undefined;
	/** Engines that are planned, in all failure domains. */
	readonly planned: number;
	/** Whether the orders remove engines. */
	readonly isRemoval: boolean;
};

/**
Decides which numbers of engines to order. Made for a load that rises by 2 to 4 times for seconds, in waves of about 11 s, over a few failure domains that
may be lost, with spot engines that may be reclaimed all at once, and engines that serve 4 s after their order. Growth is ordered at once. Engines are
removed in steps, the dearest first, only while no request waits, and only when the engines that serve without them are those which the plan has,
and the loss of a failure domain leaves as many as needed for a while. Before the load is known the number of engines that serve does not fall, and only those go in whose place spot engines serve. Where it is not seen here only the minimum is ordered.

Which engines of a group the platform removes, and the stage of new ones, is its own choice. A step that could, at worst, remove the last engine of a stage is not made.
*/
export function decideOrders(facts: ScalingFacts): ScalingDecision {
	const {
		service, work, spec, groups, isSettled, slotsPerEngine, minNeed,
	} = facts;
	const desired = new Map(groups.map(group => [group, group.ordered]));
	const need = work && computeNeed(work, spec, slotsPerEngine * computeDecodeShare(groups), minNeed);
	const plan = need ? planEngines(need, spec, groups) : planMinimum(facts);
	if (!isSettled) {
		mergeServing(facts, plan);
	}

	addEngines(facts, plan, desired);
	const isGrowing = [...desired].some(([group, count]) => count > group.ordered);
	const mayRemove = facts.canRemove && work?.waiting === 0;
	const isRemoval = mayRemove && (isSettled ? need !== undefined && removeEngines(facts, need, desired) : removeReplaced(facts, desired));
	return {
		orders: isGrowing || isRemoval
			? [...desired].filter(([group, count]) => count !== group.ordered).map(([{domain, isSpot}, count]) => ({
				service, domain, isSpot, desired: count,
			}))
			: [],
		need,
		planned: sumPlan(plan),
		isRemoval,
	};
}

/** Computes the share of the serving engines that decode: slots of the others hold no request until its end. */
function computeDecodeShare(groups: readonly EngineGroup[]): number {
	const serving = sumGroups(groups, group => group.serving);
	const prefillOnly = sumGroups(groups, group => group.prefillOnly);
	return serving > prefillOnly ? (serving - prefillOnly) / serving : 1;
}

/** Plans what is ordered, and spot engines where that is less than the minimum; others where spot engines can't be had. */
function planMinimum({spec: {minEngines, maxEngines}, groups}: ScalingFacts): Map<string, DomainPlan> {
	const plan = new Map<string, DomainPlan>();
	for (const domain of listDomains(groups)) {
		const spot = findGroup(groups, domain, true);
		const other = findGroup(groups, domain, false);
		const missing = Math.max(0, Math.min(minEngines, maxEngines) - spot.ordered - other.ordered);
		const addedSpot = Math.min(missing, Math.max(0, spot.available - spot.ordered));
		plan.set(domain, {spot: spot.ordered + addedSpot, other: other.ordered + Math.min(missing - addedSpot, Math.max(0, other.available - other.ordered))});
	}

	return plan;
}

/** Raises a plan so that it has, in spot engines, as many as serve now of the others: these can be replaced before the load is known. */
function mergeServing({work, groups, spec: {maxEngines}}: ScalingFacts, plan: Map<string, DomainPlan>): void {
	for (const [domain, planned] of plan) {
		const spot = findGroup(groups, domain, true);
		const other = findGroup(groups, domain, false);
		planned.other = Math.max(planned.other, other.ordered);
		const replacing = work ? Math.min(other.serving, spot.available) : 0;
		planned.spot = Math.max(planned.spot, spot.ordered, Math.min(replacing, maxEngines - planned.other));
	}
}

/** Raises the orders to the plan, as far as the maximum of each failure domain allows. */
function addEngines({groups, spec: {maxEngines}}: ScalingFacts, plan: ReadonlyMap<string, DomainPlan>, desired: Map<EngineGroup, number>): void {
	for (const group of groups) {
		const paired = findGroup(groups, group.domain, !group.isSpot);
		const room = maxEngines - Math.max(desired.get(paired)!, paired.serving);
		desired.set(group, Math.max(group.ordered, Math.min(getPlanned(plan, group), room)));
	}
}

/** Lowers the orders by one step towards the plan of what can be had for certain. Returns whether any was lowered. */
function removeEngines({groups, spec}: ScalingFacts, need: EngineNeed, desired: Map<EngineGroup, number>): boolean {
	const plan = planEngines(need, spec, groups.map(group => ({...group, available: group.proven})));
	const planned = sumPlan(plan);
	const before = new Map(desired);
	const left = new Map([true, false].map(isSpot => [isSpot, Math.ceil(sumGroups(groups.filter(group => group.isSpot === isSpot), ({ordered}) => ordered) * maxRemovedShare)]));
	const getPrice = ({domain, isSpot}: EngineGroup) => (spec.domainPrices.get(domain) ?? 1) * (isSpot ? spec.spotPrice : 1);
	let isRemoval = false;
	for (const group of [...groups].sort((a, b) => getPrice(b) - getPrice(a))) {
		if (group.isShort || desired.get(group)! > group.ordered) {
			continue;
		}

		const paired = findGroup(groups, group.domain, !group.isSpot);
		// No engine of the other kind can be added beside those of this one, which go first then.
		const isBlocked = getPlanned(plan, paired) > desired.get(paired)! && group.ordered + desired.get(paired)! >= spec.maxEngines;
		const floor = isBlocked ? Math.min(planned - 1, Math.max(need.short, need.full - 1)) : planned;
		const bounds = {
			desired, before, floor, need, isBlocked,
		};
		const target = isBlocked ? Math.max(getPlanned(plan, group), desired.get(group)! - 1) : getPlanned(plan, group);
		while (desired.get(group)! > target && left.get(group.isSpot)! > 0 && isRemovable(groups, group, bounds)) {
			desired.set(group, desired.get(group)! - 1);
			left.set(group.isSpot, left.get(group.isSpot)! - 1);
			isRemoval = true;
		}
	}

	return isRemoval;
}

/**
Lowers, before the load is known, the orders of engines in whose place spot engines serve: the number that serves stays, so that there is nothing to wait
for. Both kinds would be paid otherwise for as long as the load is measured. Returns whether any was lowered.
*/
function removeReplaced({groups, spec}: ScalingFacts, desired: Map<EngineGroup, number>): boolean {
	const before = new Map(desired);
	const floor = sumGroups(groups.filter(({isSpot}) => isSpot), ({ordered}) => ordered);
	const bounds: RemovalBounds = {
		desired, before, floor, need: {full: floor, measured: floor, short: 0}, isBlocked: false,
	};
	let isRemoval = false;
	for (const spot of groups.filter(({isSpot, isShort}) => isSpot && !isShort)) {
		const other = findGroup(groups, spot.domain, false);
		const target = Math.max(0, spot.ordered - spot.serving, spec.minEngines - spot.serving);
		while (spot.serving > 0 && desired.get(other)! > target && !other.isShort && isRemovable(groups, other, bounds)) {
			desired.set(other, desired.get(other)! - 1);
			isRemoval = true;
		}
	}

	return isRemoval;
}

type RemovalBounds = {
	readonly desired: ReadonlyMap<EngineGroup, number>;
	/** Orders before the removal. */
	readonly before: ReadonlyMap<EngineGroup, number>;
	/** Number of serving engines that have to be left. */
	readonly floor: number;
	readonly need: EngineNeed;
	/** Whether the other kind can't be added before. */
	readonly isBlocked: boolean;
};

/** Tells whether what serves without one more engine of a group is enough, also without any one failure domain, and has both stages. */
function isRemovable(groups: readonly EngineGroup[], removed: EngineGroup, {
	desired, before, floor, need, isBlocked,
}: RemovalBounds): boolean {
	const countLeft = (group: EngineGroup) => Math.min(group.serving, desired.get(group)! - (group === removed ? 1 : 0));
	const countBefore = (group: EngineGroup) => Math.min(group.serving, before.get(group)!);
	if (sumGroups(groups, countLeft) < floor) {
		return false;
	}

	// Where the maximum leaves no other way, the kinds change one engine at a time, with less than that for a boot time.
	const isSafe = isBlocked || listDomains(groups).every(domain => {
		const others = groups.filter(group => group.domain !== domain);
		return sumGroups(others, countLeft) >= Math.min(need.short, sumGroups(others, countBefore));
	});
	const countRemoved = (group: EngineGroup) => group.serving - countLeft(group);
	const hasBoth = [({prefillOnly}: EngineGroup) => prefillOnly, ({serving, prefillOnly}: EngineGroup) => serving - prefillOnly]
		.every(countStage => sumGroups(groups, countStage) === 0 || sumGroups(groups, group => Math.max(0, countStage(group) - countRemoved(group))) > 0);
	return isSafe && hasBoth;
}

function listDomains(groups: readonly EngineGroup[]): string[] {
	return [...new Set(groups.map(({domain}) => domain))];
}

function findGroup(groups: readonly EngineGroup[], domain: string, isSpot: boolean): EngineGroup {
	return groups.find(group => group.domain === domain && group.isSpot === isSpot)!;
}

function getPlanned(plan: ReadonlyMap<string, DomainPlan>, {domain, isSpot}: EngineGroup): number {
	const planned = plan.get(domain);
	return (isSpot ? planned?.spot : planned?.other) ?? 0;
}

function sumGroups(groups: readonly EngineGroup[], measure: (group: EngineGroup) => number): number {
	return groups.reduce((sum, group) => sum + measure(group), 0);
}
