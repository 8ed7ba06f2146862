import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';
import type {GenerationNeeds} from './needs.js';
import {choosePlainEngineByReports, isReportingSlowdown} from './plainchoice.js';
import {createPrefillWork} from './prefillmodel.js';
import type {PrefillWork} from './prefillmodel.js';
import {
	computeHomeDistance, computeTransferMs, countPrefixTokens, planPrefills, prefixFetchMs,
} from './prefillplan.js';
import type {PrefillPlan, PrefillPlanContext} from './prefillplan.js';
import {isLong} from './usage.js';
import type {EngineUsage} from './usage.js';

/** The engines that serve a generation. */
export type GenerationPlacement = {
	/** Prefills the prompt; `undefined` when the decode engine does so itself. */
	readonly prefillEngine: EngineView | undefined;
	/** Generates the answer. */
	readonly decodeEngine: EngineView;
	/** Engine from which the one that prefills fetches the prefix blocks that it lacks; `undefined` when nothing is fetched. */
	readonly prefixSource: EngineView | undefined;
	/** What is left to prefill. */
	readonly work: PrefillWork;
	/** Expected time from the reservation to the first token, in milliseconds. */
	readonly firstTokenMs: number;
};

/** What a placement is chosen from, beside the engines and the needs of the generation. */
export type PlacementContext = PrefillPlanContext & {
	/** Monotonic time, in milliseconds. */
	readonly now: number;
	/** Share of each engine's capacity that may be reserved, above 0 up to 1. */
	readonly slotShare: number;
	/** Whether short generations wait for a reservation. */
	readonly hasShortWaiting: boolean;
};

/** Share of an engine's slots that long generations may hold: the others are for short ones. */
const maxLongShare = 0.84;
/** The same while short generations wait: each of them needs a slot for a few hundredths of the time of a long one. */
const maxLongShareWhenContended = 0.67;
/** Short generations that may wait at a decode engine: when one ends, the next begins without a network delay. */
const maxQueuedShort = 1;
/** Time to hand a prefilled prompt over to another engine for decoding, beyond the KV transfer, in milliseconds: a message each way. */
const handoffMs = 6;
/** Weight of the time that a prompt takes at a decode engine for each prompt which is prefilled elsewhere and will wait there behind it. */
const delayedPromptWeight = 0.5;
/** Multiple of the time of a mean prompt up to which a prompt may be read at a decode engine where others are awaited. */
const maxBlockingPrompts = 3;
/** Share of an engine's KV memory that requests in progress may take at their fullest; the rest holds blocks for further prompts. */
const maxKvShare = 0.9;
/** Load of a request whose prompt is still being prefilled on another engine, in slots: it needs its slot only after that. */
const awaitingPrefillWeight = 0.25;
/** Maximum number of requests for each slot of an engine of an application service. */
const maxLoadPerSlot = 1;
/** Request duration assumed while no engine has one measured, in milliseconds. */
const assumedDurationMs = 50;
/** Durations below this count as this long, in milliseconds: their differences come from the entry and the network rather than the engine. */
const minDurationMs = 5;
/** Maximum interval between two turns of an engine: however slow it seems, it gets a request now and then by which its recovery is seen. */
const maxTurnInterval = 100;
/** Weight of failures: an engine's cost is multiplied by 1 plus this many times the share of its requests that failed. */
const failurePenalty = 8;

/** An engine that may get a plain call, and its place in the turns. */
type PlainCandidate = {
	readonly view: EngineView;
	/** Earliest turn that it may take. */
	readonly turn: number;
	/** The same, later by what its load beyond half of its slots costs. */
	readonly rank: number;
};

/**
Chooses the engine of an application service for a plain call. Skips the engines in `tried`; returns `undefined` when no
other is available and has room.

The engines take turns. Between two turns of an engine lies the square of how many times as long as the fastest one its
requests take: alike engines share the load, a slow one gets few requests, by which its estimate stays fresh. One that got
nothing for a while joins within a round and does not make up for missed turns, as all other entries send to it as well.
With `getRandom`, a uniform random number in [0, 1), entries that know of an engine since the same moment don't choose it
at the same moment. Where engines report the slowdown of their machines, `choosePlainEngineByReports` chooses instead.
*/
export function choosePlainEngine(views: readonly EngineView[], tried: ReadonlySet<EngineView>, now: number, getRandom?: () => number): EngineView | undefined {
	if (getRandom && isReportingSlowdown(views)) {
		return choosePlainEngineByReports(views, tried, now, getRandom);
	}

	const open = views.filter(view => view.isAvailable(now) && !tried.has(view) && view.computeLoad(now) < view.record.slots * maxLoadPerSlot);
	const lowestMs = Math.min(...open.map(view => view.averageDurationMs ?? Number.POSITIVE_INFINITY));
	const fallbackMs = Number.isFinite(lowestMs) ? lowestMs : assumedDurationMs;
	const costs = open.map(view => Math.max(minDurationMs, view.averageDurationMs ?? fallbackMs) * (1 + (view.health.failureShare * failurePenalty)));
	const lowestCost = Math.min(...costs);
	const latestTurn = Math.max(0, ...views.map(({turn}) => turn));
	const candidates = open.map((view, index): PlainCandidate => {
		const interval = Math.min(maxTurnInterval, (costs[index]! / lowestCost) ** 2);
		if (view.turn + interval < latestTurn) {
			view.turn = latestTurn - (interval * (1 - (getRandom?.() ?? 1)));
		}

		const turn = view.turn + interval;
		const excessLoad = Math.max(0, view.computeLoad(now) - (view.record.slots / 2));
		return {view, turn, rank: turn + (interval * (((1 + excessLoad) ** 2) - 1))};
	});
	const chosen = findLowest(candidates, ({rank}) => rank);
	chosen?.view.onChosen(chosen.turn, now);
	return chosen?.view;
}

/**
Chooses the engines that serve a generation; `undefined` when none have room. A short generation is prefilled where that is
cheapest by `planPrefills`: on an engine that only prefills, or on one that also decodes. A long generation runs on the least
loaded decode engine, which also prefills its whole prompt.
*/
export function chooseGenerationPlacement(
	views: readonly EngineView[],
	needs: GenerationNeeds,
	context: PlacementContext,
): GenerationPlacement | undefined {
	const available = views.filter(view => context.getUsage(view).health.isAvailable(context.now));
	const decodeEngines = available.filter(view => view.record.stage !== engineStage.prefill && hasDecodeRoom(view, needs, context));
	if (decodeEngines.length === 0) {
		return undefined;
	}

	const {getUsage} = context;
	const promptTokens = needs.uniqueTokens + countPrefixTokens(needs);
	if (isLong(needs)) {
		const decodeEngine = findLowest(selectSteady(decodeEngines, context), view => computeDecodeLoad(getUsage(view)))!;
		const work = createPrefillWork(promptTokens, promptTokens);
		return {
			prefillEngine: undefined, decodeEngine, prefixSource: undefined, work, firstTokenMs: getUsage(decodeEngine).computePrefillMs(work),
		};
	}

	const plans = planPrefills(available, needs, context).filter(({view}) => hasPrefillRoom(view, needs, context));
	const computeCombinedMs = ({view, costMs, work}: PrefillPlan) => {
		const usage = getUsage(view);
		return costMs + (usage.computeBusyMs(work) * usage.awaitingPrefillCount * delayedPromptWeight);
	};

	const combined = findLowest(plans.filter(({view, work}) => decodeEngines.includes(view) && !isBlocking(getUsage(view), work)), computeCombinedMs);
	const separate = findLowest(plans.filter(({view}) => view.record.stage === engineStage.prefill), ({costMs}) => costMs);
	const decodeEngine = chooseDecodeEngine(decodeEngines, needs, context);
	const separateMs = handoffMs + computeTransferMs(promptTokens, needs) + getUsage(decodeEngine).computeBacklogMs();
	if (separate && (!combined || separate.costMs + separateMs < computeCombinedMs(combined))) {
		return {
			...separate, prefillEngine: separate.view, decodeEngine, firstTokenMs: separate.firstTokenMs + separateMs,
		};
	}

	return combined && {...combined, prefillEngine: undefined, decodeEngine: combined.view};
}

/**
Estimates the shortest time to the first token that any engine offers now, room or not, in milliseconds; infinite without an engine. A silent engine offers
it after its backoff.
*/
export function estimateFirstTokenMs(views: readonly EngineView[], needs: GenerationNeeds, context: PlacementContext): number {
	const computeDelayMs = (view: EngineView) => context.getUsage(view).health.computeSilenceLeftMs(context.now);
	const expected = views.filter(view => Number.isFinite(computeDelayMs(view)));
	return Math.min(Number.POSITIVE_INFINITY, ...planPrefills(expected, needs, context).map(({firstTokenMs, view}) => firstTokenMs + computeDelayMs(view)));
}

/**
Chooses the engine that decodes a prompt which another one prefills: that with the shortest wait behind prompts that it
prefills itself. Among similar ones, it is one that holds the prefix blocks, or their home by rendezvous hashing.
*/
function chooseDecodeEngine(decodeEngines: readonly EngineView[], needs: GenerationNeeds, {getUsage, prefixCaches}: PlacementContext): EngineView {
	const blockTransferMs = prefixFetchMs + computeTransferMs(countPrefixTokens(needs), needs);
	return findLowest(decodeEngines, view => {
		const usage = getUsage(view);
		if (needs.prefixBlocks.length === 0) {
			return usage.computeBacklogMs() + computeDecodeLoad(usage);
		}

		const isHolder = prefixCaches.countMissingTokens(view, needs.prefixBlocks, true) === 0;
		return usage.computeBacklogMs() + (isHolder ? 0 : blockTransferMs) + (computeHomeDistance(view, needs) * prefixFetchMs);
	})!;
}

function hasPrefillRoom(view: EngineView, needs: GenerationNeeds, {slotShare, getUsage, now}: PlacementContext): boolean {
	const usage = getUsage(view);
	return hasKvRoom(usage, needs, slotShare) && usage.hasPrefillRoom(slotShare, now);
}

/** Selects the engines that keep the pauses of streams short also while their machines are slow; where none does, those that come nearest. */
function selectSteady(views: readonly EngineView[], {getUsage}: PlacementContext): readonly EngineView[] {
	const lowestShare = Math.min(...views.map(view => getUsage(view).pace.computeWorstShare()));
	return views.filter(view => getUsage(view).pace.computeWorstShare() <= Math.max(1, lowestShare));
}

/** Tells whether a prompt is so long that those which are prefilled elsewhere and will be decoded at the engine would wait too long behind it. */
function isBlocking(usage: EngineUsage, work: PrefillWork): boolean {
	return usage.awaitingPrefillCount > 0 && usage.computeBusyMs(work) > usage.computeMeanMs() * maxBlockingPrompts;
}

/** Tells whether the KV memory of an engine holds a further request at its fullest; an engine without requests takes any. */
function hasKvRoom(usage: EngineUsage, needs: GenerationNeeds, slotShare: number): boolean {
	return needs.kvCapacityTokens === 0 || !usage.isHoldingKv || usage.computeKvTokens(needs) <= needs.kvCapacityTokens * maxKvShare * slotShare;
}

function hasDecodeRoom(view: EngineView, needs: GenerationNeeds, {slotShare, getUsage, hasShortWaiting}: PlacementContext): boolean {
	const usage = getUsage(view);
	const slots = Math.max(1, view.record.slots * slotShare);
	const isOverLongLimit = isLong(needs) && usage.longDecodeCount + 1 > Math.max(1, slots * (hasShortWaiting ? maxLongShareWhenContended : maxLongShare));
	return !isOverLongLimit && hasKvRoom(usage, needs, slotShare) && computeDecodeLoad(usage) + 1 <= slots + (isLong(needs) ? 0 : maxQueuedShort * slotShare);
}

function computeDecodeLoad(usage: EngineUsage): number {
	return usage.decodeCount - (usage.awaitingPrefillCount * (1 - awaitingPrefillWeight));
}

/** Finds the item with the lowest finite measure. */
function findLowest<Item>(items: readonly Item[], measure: (item: Item) => number): Item | undefined {
	let best: Item | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = measure(item);
		if (value < lowest) {
			best = item;
			lowest = value;
		}
	}

	return best;
}
