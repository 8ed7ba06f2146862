import {computeScore} from '../rates/index.js';
import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';
import {isLong} from './use.js';
import type {EngineUse} from './use.js';

/** What a generation asks of its place. */
export type GenerationNeeds = {
	/** Names the shared parts of the prompt; requests with the same key are read cheaply where one was read before. */
	readonly sharedKey: string | undefined;
	readonly sharedTokens: number;
	/** Tokens that only this request has. */
	readonly ownTokens: number;
	/** Most tokens that it generates. */
	readonly outputTokens: number;
};

/** Where a generation runs. */
export type GenerationPlace = {
	/** Reads the prompt; `undefined` when the writer reads it itself. */
	readonly reader: EngineView | undefined;
	readonly writer: EngineView;
	/** Keeps the shared parts of the prompt, if another engine than the one that reads. */
	readonly keeper: EngineView | undefined;
};

/** What the choice of a place is made by, beside the engines. */
export type PlacementPicture = {
	readonly now: number;
	/** Part of each engine's places that may be given, above 0 up to 1. */
	readonly share: number;
	readonly getUse: (view: EngineView) => EngineUse;
};

/** Shared tokens below which a prompt is read anew at any engine: less than the cost of one piece of a prompt. */
const leastSharedTokens = 512;
/** Own tokens up to which an engine that also writes reads them itself while it has little to do. */
const directTokens = 6000;
/** Requests at an engine that writes up to which it also reads prompts: then few wait for its slower reading. */
const directUse = 1;
/** Prompts at an engine that only reads: it reads one after another, the second one keeps it busy between messages. */
const mostReading = 3;
/** Part of an engine's places that generations may hold for long, so that short ones always find some. */
const longShare = 0.5;
/** Weight of a request whose prompt is still being read elsewhere: its place is needed only when that is done. */
const expectedWeight = 0.6;
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
Chooses where a generation runs. The shared parts of each prompt have a home among the engines that write, chosen by
rendezvous, so that all entries agree without a message. While its home has little to do it reads the prompt itself;
else an engine that only reads does, fetching the shared parts from the home.
*/
export function chooseGenerationPlace(
	views: readonly EngineView[],
	needs: GenerationNeeds,
	picture: PlacementPicture,
): GenerationPlace | undefined {
	const open = views.filter(view => view.health.isOpen(picture.now));
	const writers = open.filter(view => view.record.stage !== engineStage.prefill);
	const isShared = needs.sharedKey !== undefined && needs.sharedTokens >= leastSharedTokens;
	const home = isShared ? findHome(writers, needs.sharedKey) : undefined;
	const free = writers.filter(view => hasRoom(view, needs, picture));
	const writer = home && free.includes(home) ? home : findLeastUsed(free, view => computeWriting(picture.getUse(view)));
	if (!writer) {
		return undefined;
	}

	const keeper = home === writer ? undefined : home;
	const readers = open.filter(view => view.record.stage === engineStage.prefill);
	const isQuiet = needs.ownTokens <= directTokens && picture.getUse(writer).writing <= directUse;
	if (!isShared || isQuiet || readers.length === 0 || writer.record.stage === engineStage.any) {
		return {reader: undefined, writer, keeper};
	}

	const reader = findLeastUsed(
		readers.filter(view => picture.getUse(view).reading < Math.max(1, mostReading * picture.share)),
		view => picture.getUse(view).reading,
	);
	return reader && {reader, writer, keeper: home};
}

function hasRoom(view: EngineView, needs: GenerationNeeds, {share, getUse}: PlacementPicture): boolean {
	const use = getUse(view);
	const places = Math.max(1, view.record.slots * share);
	const isOverLong = isLong(needs) && use.long + 1 > Math.max(1, places * longShare);
	return !isOverLong && computeWriting(use) + 1 <= places;
}

function computeWriting(use: EngineUse): number {
	return use.writing - (use.expected * (1 - expectedWeight));
}

function findHome(views: readonly EngineView[], key: string | undefined): EngineView | undefined {
	return findLeastUsed(views, view => -computeScore(key ?? '', view.record.id));
}

function findLeastUsed(views: readonly EngineView[], measure: (view: EngineView) => number): EngineView | undefined {
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
