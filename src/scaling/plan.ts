import type {EngineNeed} from './need.js';
import type {EngineGroup, ScalingSpec} from './types.js';

/** Engines that a service should have in a failure domain. */
export type DomainPlan = {spot: number; other: number};

/** What can be had in a failure domain, and its price. */
type DomainOffer = {readonly domain: string; readonly price: number; readonly maxSpot: number; readonly maxOther: number};

/**
Plans the cheapest engines with which the service has what it needs, and what it needs for a short while also after the loss of any one failure domain, at least
the minimum in each. Spot engines are cheapest; others are planned where spot engines can't be had. Where the maximum of the
domains does not allow that, all are used as far as needed, and so many are no spot engines that the reclaim of all spot engines of a failure domain leaves what
the service needs until they are replaced. Made for tens of failure domains with up to thousands of engines.
*/
export function planEngines({full, short}: EngineNeed, spec: ScalingSpec, groups: readonly EngineGroup[]): Map<string, DomainPlan> {
	const offers = createOffers(spec, groups);
	let best: Map<string, DomainPlan> | undefined;
	let bestPrice = Number.POSITIVE_INFINITY;
	// With no more than `level` engines in a domain, the loss of any one leaves what is needed until others take their place.
	const minLevel = offers.length > 1 ? Math.ceil(Math.max(full / offers.length, short / (offers.length - 1))) : spec.maxEngines + 1;
	for (let level = Math.max(minLevel, spec.minEngines); level <= spec.maxEngines; level++) {
		const count = Math.max(full, short + level);
		const plan = selectCheapest(offers, spec, level, count);
		const price = computePrice(plan, offers, spec);
		if (sumPlan(plan) >= count && price < bestPrice) {
			best = plan;
			bestPrice = price;
		}
	}

	if (best) {
		return best;
	}

	const plan = selectCheapest(offers, spec, spec.maxEngines, full + (offers.length > 1 ? spec.maxEngines : 0));
	replaceForReclaims(plan, offers, short);
	return plan;
}

/** Counts the engines of a plan. */
export function sumPlan(plan: ReadonlyMap<string, DomainPlan>): number {
	let sum = 0;
	for (const {spot, other} of plan.values()) {
		sum += spot + other;
	}

	return sum;
}

function createOffers({spotPrice, domainPrices, maxEngines}: ScalingSpec, groups: readonly EngineGroup[]): DomainOffer[] {
	const highestPrice = Math.max(1, ...domainPrices.values());
	const offers = [...new Set(groups.map(({domain}) => domain))].map(domain => {
		const countAvailable = (isSpot: boolean) => Math.min(maxEngines, groups.find(group => group.domain === domain && group.isSpot === isSpot)?.available ?? 0);
		return {
			domain, price: domainPrices.get(domain) ?? highestPrice, maxSpot: spotPrice > 1 ? 0 : countAvailable(true), maxOther: countAvailable(false),
		};
	});
	return offers.sort((left, right) => left.price - right.price || (left.domain < right.domain ? -1 : 1));
}

/** Plans the cheapest `count` engines, with no more than `level` in a failure domain; fewer where no more can be had. */
function selectCheapest(offers: readonly DomainOffer[], {minEngines, spotPrice}: ScalingSpec, level: number, count: number): Map<string, DomainPlan> {
	const plan = new Map(offers.map(({domain, maxSpot, maxOther}) => {
		const spot = Math.min(minEngines, maxSpot);
		return [domain, {spot, other: Math.min(minEngines - spot, maxOther)}];
	}));
	let left = count - sumPlan(plan);
	const kinds = offers.flatMap(offer => [{offer, isSpot: true, price: offer.price * spotPrice}, {offer, isSpot: false, price: offer.price}]);
	for (const {offer: {domain, maxSpot, maxOther}, isSpot} of kinds.sort((a, b) => a.price - b.price || Number(b.isSpot) - Number(a.isSpot))) {
		const planned = plan.get(domain)!;
		const room = Math.min(level - planned.spot - planned.other, isSpot ? maxSpot - planned.spot : maxOther - planned.other);
		const added = Math.max(0, Math.min(left, room));
		planned[isSpot ? 'spot' : 'other'] += added;
		left -= added;
	}

	return plan;
}

/** Replaces spot engines by others until the reclaim of all spot engines of any one failure domain leaves `need` engines, where that is possible. */
function replaceForReclaims(plan: Map<string, DomainPlan>, offers: readonly DomainOffer[], need: number): void {
	for (const {domain, maxOther} of offers) {
		const planned = plan.get(domain)!;
		const missing = need - (sumPlan(plan) - planned.spot);
		const replaced = Math.max(0, Math.min(missing, planned.spot, maxOther - planned.other));
		planned.spot -= replaced;
		planned.other += replaced;
	}
}

function computePrice(plan: ReadonlyMap<string, DomainPlan>, offers: readonly DomainOffer[], {spotPrice}: ScalingSpec): number {
	let sum = 0;
	for (const {domain, price} of offers) {
		const {spot, other} = plan.get(domain)!;
		sum += price * ((spot * spotPrice) + other);
	}

	return sum;
}
