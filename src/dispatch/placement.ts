import {computeScore} from '../rates/index.js';
import type {CachePicture} from './cache.js';
import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';
import type {GenerationNeeds} from './needs.js';
import {isLong} from './use.js';
import type {EngineUse} from './use.js';

/** Where a generation runs. */
export type GenerationPlace = {
	/** Reads the prompt; `undefined` when the writer reads it itself. */
	readonly reader: EngineView | undefined;
	readonly writer: EngineView;
	/** Has the shared parts that the engine that reads lacks. */
	readonly keeper: EngineView | undefined;
	/** Tokens that have to be read. */
	readonly readTokens: number;
};

/** What the choice of a place is made by, beside the engines. */
export type PlacementPicture = {
	readonly now: number;
	/** Part of each engine's places that may be given, above 0 up to 1. */
	readonly share: number;
	readonly getUse: (view: EngineView) => EngineUse;
	readonly caches: CachePicture;
	/** Whether generations that hold their place shortly wait for one. */
	readonly isCrowded: boolean;
};

/**
Time of the prompts that an engine has to read beyond which it gets no more, in milliseconds: enough to keep it busy
between messages; what waits in the line can still be put in another order, or refused.
*/
const longestBacklogMs = 40;
/** Places of an engine that generations may hold for long, as a part: the others are for short ones. */
const longShare = 0.84;
/** The same while short ones wait: each of them needs a place for some hundredths of the time of a long one. */
const crowdedLongShare = 0.67;
/** Short requests that may wait at an engine that writes: the next begins without a message's way after one ends. */
const shortQueue = 1;
/** Time for a prompt that was read elsewhere to reach its writer, in milliseconds: a message each way and the transfer. */
const handOverMs = 6;
/** What fetching shared parts from another engine counts, in milliseconds: it takes less, but leaves them in two memories. */
const fetchMs = 5;
/** Weight of a request whose prompt is still being read elsewhere: its place is needed only when that is done. */
const expectedWeight = 0.25;
/** Requests at an engine of an application service, as a multiple of its slots. */
const plainFill = 1;
/** Duration assumed of an engine without a measured one, in milliseconds. */
const assumedMs = 50;
/** How much a failing engine is avoided: one that fails half of its requests counts as this many times slower, plus one. */
const failureCost = 8;

/** Chooses the engine of an application service that should answer first; `undefined` when each has its fill. */
export function choosePlainPlace(views: readonly EngineView[], tried: ReadonlySet<EngineView>, now: number): EngineView | undefined {
	let best: EngineView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const view of views) {
		const load = view.computeLoad(now);
		if (!view.health.isOpen(now) || tried.has(view) || load >= view.record.slots * plainFill) {
			continue;
		}

		const busy = Math.max(0, load - (view.record.slots / 2));
		const cost = (view.averageMs ?? assumedMs) * (1 + busy) * (1 + (view.health.failureShare * failureCost));
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
export function chooseGenerationPlace(
	views: readonly EngineView[],
	needs: GenerationNeeds,
	picture: PlacementPicture,
): GenerationPlace | undefined {
	const open = views.filter(view => picture.getUse(view).health.isOpen(picture.now));
	const free = open.filter(view => view.record.stage !== engineStage.prefill && hasRoom(view, needs, picture));
	if (free.length === 0) {
		return undefined;
	}

	const {getUse} = picture;
	const findFreest = () => findLeast(free, view => computeWriting(getUse(view)))!;
	if (isLong(needs)) {
		return {reader: undefined, writer: findFreest(), ...findKept(free[0]!, new Map(), needs)};
	}

	const missing = new Map(open.map(view => [view, picture.caches.countMissing(view, needs.shared)]));
	const fewest = Math.min(...missing.values());
	const measure = (view: EngineView) => getUse(view).computeReadMs(needs.ownTokens + fewest) + (missing.get(view)! > fewest ? fetchMs : 0);
	const direct = findLeast(free.filter(view => hasTimeToRead(view, picture)), measure);
	const reader = findLeast(
		open.filter(view => view.record.stage === engineStage.prefill && hasTimeToRead(view, picture)),
		measure,
	);
	if (reader && (!direct || measure(reader) + handOverMs < measure(direct))) {
		const key = needs.shared.at(-1)?.id;
		const holders = free.filter(view => missing.get(view) === 0);
		const homes = holders.length > 0 ? holders : free;
		const writer = key === undefined ? findFreest() : findLeast(homes, view => -computeScore(key, view.record.id))!;
		return {reader, writer, ...findKept(reader, missing, needs)};
	}

	return direct && {reader: undefined, writer: direct, ...findKept(direct, missing, needs)};
}

/** Finds an engine that has more of the shared parts than `view`, and what is left to be read with its help. */
function findKept(view: EngineView, missing: ReadonlyMap<EngineView, number>, needs: GenerationNeeds) {
	const lacking = missing.get(view) ?? needs.shared.reduce((sum, part) => sum + part.tokens, 0);
	let keeper: EngineView | undefined;
	let fewest = lacking;
	for (const [other, tokens] of missing) {
		if (tokens < fewest) {
			keeper = other;
			fewest = tokens;
		}
	}

	return {keeper, readTokens: needs.ownTokens + fewest};
}

function hasTimeToRead(view: EngineView, {share, getUse, now}: PlacementPicture): boolean {
	return getUse(view).hasTimeToRead(longestBacklogMs * share, now);
}

function hasRoom(view: EngineView, needs: GenerationNeeds, {share, getUse, isCrowded}: PlacementPicture): boolean {
	const use = getUse(view);
	const places = Math.max(1, view.record.slots * share);
	const isOverLong = isLong(needs) && use.long + 1 > Math.max(1, places * (isCrowded ? crowdedLongShare : longShare));
	return !isOverLong && computeWriting(use) + 1 <= places + (isLong(needs) ? 0 : shortQueue * share);
}

function computeWriting(use: EngineUse): number {
	return use.writing - (use.expected * (1 - expectedWeight));
}

function findLeast(views: readonly EngineView[], measure: (view: EngineView) => number): EngineView | undefined {
	let best: EngineView | undefined;
	let least = Number.POSITIVE_INFINITY;
	for (const view of views) {
		const value = measure(view);
		if (value < least) {
			best = view;
			least = value;
		}
	}

	return best;
}
