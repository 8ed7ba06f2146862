import {computeRendezvousScore} from '../rates/index.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';
import type {GenerationNeeds} from './needs.js';
import {isLong} from './usage.js';
import type {EngineUsage} from './usage.js';

/** Where a generation runs. */
export type GenerationPlacement = {
	/** Reads the prompt; `undefined` when the writer reads it itself. */
	readonly prefillEngine: EngineView | undefined;
	readonly decodeEngine: EngineView;
	/** Has the shared parts that the engine that reads lacks. */
	readonly prefixSource: EngineView | undefined;
	/** Tokens that have to be read. */
	readonly prefillTokens: number;
};

/** What the choice of a place is made by, beside the engines. */
export type PlacementContext = {
	readonly now: number;
	/** Part of each engine's places that may be given, above 0 up to 1. */
	readonly slotShare: number;
	readonly getUsage: (view: EngineView) => EngineUsage;
	readonly prefixCaches: PrefixCacheIndex;
	/** Whether generations that hold their place shortly wait for one. */
	readonly hasShortWaiting: boolean;
};

/**
Time of the prompts that an engine has to read beyond which it gets no more, in milliseconds: enough to keep it busy
between messages; what waits in the line can still be put in another order, or refused.
*/
const maxPrefillBacklogMs = 40;
/** Places of an engine that generations may hold for long, as a part: the others are for short ones. */
const maxLongShare = 0.84;
/** The same while short ones wait: each of them needs a place for some hundredths of the time of a long one. */
const maxLongShareWhenContended = 0.67;
/** Short requests that may wait at an engine that writes: the next begins without a message's way after one ends. */
const maxQueuedShort = 1;
/** Time for a prompt that was read elsewhere to reach its writer, in milliseconds: a message each way and the transfer. */
const handoffMs = 6;
/** What fetching shared parts from another engine counts, in milliseconds: it takes less, but leaves them in two memories. */
const prefixFetchCostMs = 5;
/** Weight of a request whose prompt is still being read elsewhere: its place is needed only when that is done. */
const awaitingPrefillWeight = 0.25;
/** Requests at an engine of an application service, as a multiple of its slots. */
const maxLoadPerSlot = 1;
/** Duration assumed of an engine without a measured one, in milliseconds. */
const assumedDurationMs = 50;
/** How much a failing engine is avoided: one that fails half of its requests counts as this many times slower, plus one. */
const failurePenalty = 8;

/** Chooses the engine of an application service that should answer first; `undefined` when each has its fill. */
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
Chooses where a generation runs: at the engine that is expected to have read its prompt first, one that only reads or
one that also writes. What the engine lacks of the shared parts it fetches from one that has them; each prompt's shared
parts have a home among the engines that write, chosen by rendezvous, so that they are not kept everywhere.
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

/** Finds an engine that has more of the shared parts than `view`, and what is left to be read with its help. */
function findPrefixSource(view: EngineView, missingTokens: ReadonlyMap<EngineView, number>, needs: GenerationNeeds) {
	const ownMissingTokens = missingTokens.get(view) ?? needs.prefixBlocks.reduce((sum, part) => sum + part.tokens, 0);
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
