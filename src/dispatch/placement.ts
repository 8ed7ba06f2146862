import {computeScore} from '../rates/index.js';
import {engineStage} from './engine.js';
import type {EngineView} from './engine.js';

/** What a generation asks of its place. */
export type GenerationNeeds = {
	/** Names the shared parts of the prompt; requests with the same key are read cheaply where one was read before. */
	readonly sharedKey: string | undefined;
	readonly sharedTokens: number;
	/** Tokens that only this request has. */
	readonly ownTokens: number;
};

/** Where a generation runs. */
export type GenerationPlace = {
	/** Reads the prompt; `undefined` when the writer reads it itself. */
	readonly reader: EngineView | undefined;
	readonly writer: EngineView;
	/** Keeps the shared parts of the prompt, if another engine than the one that reads. */
	readonly keeper: EngineView | undefined;
};

/** Shared tokens below which a prompt is read anew at any engine: less than the cost of one piece of a prompt. */
const leastSharedTokens = 512;
/** Own tokens up to which an engine that also writes reads them itself while it has little to do. */
const directTokens = 6000;
/** Load up to which an engine that writes reads prompts itself: then nobody waits for its slower reading. */
const directLoad = 1.5;
/** Requests at an engine that reads, as a multiple of its slots: a short queue keeps it busy between messages. */
const readerFill = 1.5;
/** Requests at an engine that writes, as a multiple of its slots. */
const writerFill = 1;
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
	tried: ReadonlySet<EngineView>,
	now: number,
): GenerationPlace | undefined {
	const open = views.filter(view => !tried.has(view) && view.health.isOpen(now));
	const writers = open.filter(view => view.record.stage !== engineStage.prefill);
	const isShared = needs.sharedKey !== undefined && needs.sharedTokens >= leastSharedTokens;
	const sorted = isShared ? sortByHome(writers, needs.sharedKey) : sortByLoad(writers, now);
	const writer = sorted.find(view => view.computeLoad(now) < view.record.slots * writerFill);
	if (!writer) {
		return undefined;
	}

	const home = isShared ? sorted[0] : undefined;
	const keeper = home === writer ? undefined : home;
	const canRead = needs.ownTokens <= directTokens && writer.computeLoad(now) <= directLoad;
	if (!isShared || canRead || writer.record.stage === engineStage.any) {
		return {reader: undefined, writer, keeper};
	}

	const readers = open.filter(view => view.record.stage === engineStage.prefill);
	const reader = sortByLoad(readers, now).find(view => view.computeLoad(now) < view.record.slots * readerFill);
	if (reader) {
		return {reader, writer, keeper: home};
	}

	return readers.length === 0 ? {reader: undefined, writer, keeper} : undefined;
}

function sortByHome(views: readonly EngineView[], key: string | undefined): EngineView[] {
	return views
		.map(view => ({view, score: computeScore(key ?? '', view.record.id)}))
		.sort((left, right) => right.score - left.score)
		.map(({view}) => view);
}

function sortByLoad(views: readonly EngineView[], now: number): EngineView[] {
	return views
		.map(view => ({view, load: view.computeLoad(now) * (1 + (view.health.failureShare * failureCost))}))
		.sort((left, right) => left.load - right.load)
		.map(({view}) => view);
}
