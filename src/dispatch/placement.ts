import {computeRendezvousScore} from '../rates/index.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';
import type {GenerationNeeds} from './needs.js';
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
	/** Number of tokens left to prefill. */
	readonly prefillTokens: number;
};

/** What a placement is chosen from, beside the engines and the needs of the generation. */
export type PlacementContext = {
	/** Monotonic time, in milliseconds. */
	readonly now: number;
	/** Share of each engine's capacity that may be reserved, above 0 up to 1. */
	readonly slotShare: number;
	readonly getUsage: (view: EngineView) => EngineUsage;
	readonly prefixCaches: PrefixCacheIndex;
	/** Whether short generations wait for a reservation. */
	readonly hasShortWaiting: boolean;
};

/**
Prefill backlog beyond which an engine gets no more prompts, in milliseconds: enough to keep it busy between messages.
A request that waits in the queue instead can still be reordered or refused.
*/
const maxPrefillBacklogMs = 40;
/** Share of an engine's slots that long generations may hold: the others are for short ones. */
const maxLongShare = 0.84;
/** The same while short generations wait: each of them needs a slot for a few hundredths of the time of a long one. */
const maxLongShareWhenContended = 0.67;
/** Short generations that may wait at a decode engine: when one ends, the next begins without a network delay. */
const maxQueuedShort = 1;
/** Time to hand a prefilled prompt over to another engine for decoding, in milliseconds: a message each way and the KV transfer. */
const handoffMs = 6;
/** Cost of fetching prefix blocks from another engine, in milliseconds: the fetch takes less, but leaves them in the memory of two engines. */
const prefixFetchCostMs = 5;
/** Load of a request whose prompt is still being prefilled on another engine, in slots: it needs its slot only after that. */
const awaitingPrefillWeight = 0.25;
/** Maximum number of requests for each slot of an engine of an application service. */
const maxLoadPerSlot = 1;
/** Request duration assumed of an engine that has none measured, in milliseconds. */
const assumedDurationMs = 50;
/** Weight of failures: an engine's cost is multiplied by 1 plus this many times the share of its requests that failed. */
const failurePenalty = 8;

/**
Chooses the engine of an application service that is expected to answer first. Skips the engines in `tried`; returns
`undefined` when no other is available and has room.
*/
export function choosePlainEngine(views: readonly EngineView[], tried: ReadonlySet<EngineView>, now: number): EngineView | undefined {
	let best: EngineView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const view of views) {
		const load = view.computeLoad(now);
		if (!view.health.isAvailable(now) || tried.has(view) || load >= view.record.slots * maxLoadPerSlot) {
			continue;
		}

		const excessLoad = Math.max(0, load - (view.record.slots / 2));
		const cost = (view.averageDurationMs ?? assumedDurationMs) * (1 + excessLoad) * (1 + (view.health.failureShare * failurePenalty));
		if (cost < bestCost) {
			best = view;
			bestCost = cost;
		}
	}

	return best;
}

/**
Chooses the engines that serve a generation; `undefined` when none have room. A short generation is prefilled where that
is expected to end first: on an engine that only prefills, or on one that also decodes. Prefix blocks that this engine
lacks are fetched from one that holds them. Each prompt's prefix blocks have a home among the decode engines, chosen by
rendezvous hashing, so that they are not cached everywhere. A long generation runs on the least loaded decode engine,
which also prefills its whole prompt.
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
	const findLeastLoaded = () => findLowest(decodeEngines, view => computeDecodeLoad(getUsage(view)))!;
	if (isLong(needs)) {
		return {prefillEngine: undefined, decodeEngine: findLeastLoaded(), ...findPrefixSource(decodeEngines[0]!, new Map(), needs)};
	}

	const missingTokens = new Map(available.map(view => [view, context.prefixCaches.countMissingTokens(view, needs.prefixBlocks)]));
	const fewestMissing = Math.min(...missingTokens.values());
	const estimateMs = (view: EngineView) => getUsage(view).computePrefillMs(needs.uniqueTokens + fewestMissing) + (missingTokens.get(view)! > fewestMissing ? prefixFetchCostMs : 0);
	const combinedEngine = findLowest(decodeEngines.filter(view => hasPrefillRoom(view, context)), estimateMs);
	const prefillEngine = findLowest(
		available.filter(view => view.record.stage === engineStage.prefill && hasPrefillRoom(view, context)),
		estimateMs,
	);
	if (prefillEngine && (!combinedEngine || estimateMs(prefillEngine) + handoffMs < estimateMs(combinedEngine))) {
		const prefixId = needs.prefixBlocks.at(-1)?.id;
		const holders = decodeEngines.filter(view => missingTokens.get(view) === 0);
		const homeEngines = holders.length > 0 ? holders : decodeEngines;
		const decodeEngine = prefixId === undefined ? findLeastLoaded() : findLowest(homeEngines, view => -computeRendezvousScore(prefixId, view.record.id))!;
		return {prefillEngine, decodeEngine, ...findPrefixSource(prefillEngine, missingTokens, needs)};
	}

	return combinedEngine && {prefillEngine: undefined, decodeEngine: combinedEngine, ...findPrefixSource(combinedEngine, missingTokens, needs)};
}

/** Finds the engine that holds the most prefix blocks, if more than `view`, and the tokens left to prefill after fetching them. */
function findPrefixSource(view: EngineView, missingTokens: ReadonlyMap<EngineView, number>, needs: GenerationNeeds) {
	const ownMissingTokens = missingTokens.get(view) ?? needs.prefixBlocks.reduce((sum, block) => sum + block.tokens, 0);
	let prefixSource: EngineView | undefined;
	let remainingTokens = ownMissingTokens;
	for (const [other, tokens] of missingTokens) {
		if (tokens < remainingTokens) {
			prefixSource = other;
			remainingTokens = tokens;
		}
	}

	return {prefixSource, prefillTokens: needs.uniqueTokens + remainingTokens};
}

function hasPrefillRoom(view: EngineView, {slotShare, getUsage, now}: PlacementContext): boolean {
	return getUsage(view).hasPrefillRoom(maxPrefillBacklogMs * slotShare, now);
}

function hasDecodeRoom(view: EngineView, needs: GenerationNeeds, {slotShare, getUsage, hasShortWaiting}: PlacementContext): boolean {
	const usage = getUsage(view);
	const slots = Math.max(1, view.record.slots * slotShare);
	const isOverLongLimit = isLong(needs) && usage.longDecodeCount + 1 > Math.max(1, slots * (hasShortWaiting ? maxLongShareWhenContended : maxLongShare));
	return !isOverLongLimit && computeDecodeLoad(usage) + 1 <= slots + (isLong(needs) ? 0 : maxQueuedShort * slotShare);
}

function computeDecodeLoad(usage: EngineUsage): number {
	return usage.decodeCount - (usage.awaitingPrefillCount * (1 - awaitingPrefillWeight));
}

function findLowest(views: readonly EngineView[], measure: (view: EngineView) => number): EngineView | undefined {
	let best: EngineView | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const view of views) {
		const value = measure(view);
		if (value < lowest) {
			best = view;
			lowest = value;
		}
	}

	return best;
}
