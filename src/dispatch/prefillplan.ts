import {computeRendezvousScore, maxRendezvousScore} from '../rates/index.js';
import type {EngineView} from './engine.js';
import type {GenerationNeeds} from './needs.js';
import {createPrefillWork} from './prefillmodel.js';
import type {PrefillWork} from './prefillmodel.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import type {EngineUsage} from './usage.js';

/** Cost of fetching prefix blocks from another engine, beyond the KV transfer, in milliseconds: a message between the engines. */
export const prefixFetchMs = 5;
/** Transfer time between failure domains, relative to that within one. */
const transferFactor = 2;
/** Weight of the time in which an engine reads blocks that another one holds or is reading: it is lost to other prompts. */
const repeatedReadWeight = 1;
/** Weight of the time that it would take to read blocks that are fetched: the copy evicts others, of which some will be read again. */
const copyWeight = 0.25;

/** How one engine would prefill a prompt. */
export type PrefillPlan = {
	readonly view: EngineView;
	/** Engine from which it fetches prefix blocks that it lacks; `undefined` when nothing is fetched. */
	readonly prefixSource: EngineView | undefined;
	readonly work: PrefillWork;
	/** Expected time until the prompt is prefilled, in milliseconds. */
	readonly firstTokenMs: number;
	/** That time and what the prefill costs other prompts, in milliseconds. */
	readonly costMs: number;
};

/** What prefills are planned from, beside the engines and the needs of the generation. */
export type PrefillPlanContext = {
	readonly getUsage: (view: EngineView) => EngineUsage;
	readonly prefixCaches: PrefixCacheIndex;
};

/** Counts the tokens of the blocks that a prompt shares with others. */
export function countPrefixTokens({prefixBlocks}: GenerationNeeds): number {
	return prefixBlocks.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Computes the time to transfer the KV cache of `tokens` between any two engines, in milliseconds. */
export function computeTransferMs(tokens: number, needs: GenerationNeeds): number {
	return tokens * needs.kvTransferMsPerToken * transferFactor;
}

/** Computes where an engine stands in the rendezvous order of a prompt's prefix, from 0, its home, to 1. */
export function computeHomeDistance(view: EngineView, {prefixBlocks}: GenerationNeeds): number {
	const prefixId = prefixBlocks.at(-1)?.id;
	return prefixId === undefined ? 0 : 1 - (computeRendezvousScore(prefixId, view.record.id) / maxRendezvousScore);
}

/**
Plans the prefill of a prompt on each of the engines. An engine that lacks prefix blocks fetches them from one that holds
them, if any does, and else reads them. The cost of a plan includes what it takes from other prompts: reading what another
engine holds or is about to hold, and copies that evict other blocks. Blocks that no engine holds are drawn to their home, so
that they are found there also by an allocator that does not know the engines' caches.
*/
export function planPrefills(views: readonly EngineView[], needs: GenerationNeeds, {getUsage, prefixCaches}: PrefillPlanContext): PrefillPlan[] {
	const prefixTokens = countPrefixTokens(needs);
	const promptTokens = needs.uniqueTokens + prefixTokens;
	const heldTokens = views.map(view => prefixTokens - prefixCaches.countMissingTokens(view, needs.prefixBlocks, false));
	const heldOrPendingTokens = views.map(view => prefixTokens - prefixCaches.countMissingTokens(view, needs.prefixBlocks, true));
	const mostHeld = Math.max(0, ...heldTokens);
	const mostHeldOrPending = Math.max(0, ...heldOrPendingTokens);
	const holder = views[heldTokens.indexOf(mostHeld)];
	return views.map((view, index) => {
		const usage = getUsage(view);
		const ownTokens = heldOrPendingTokens[index]!;
		const fetchedTokens = Math.max(0, mostHeld - ownTokens);
		const repeatedTokens = Math.max(0, mostHeldOrPending - ownTokens - fetchedTokens);
		const newTokens = prefixTokens - ownTokens - fetchedTokens - repeatedTokens;
		const work = createPrefillWork(promptTokens - ownTokens - fetchedTokens, promptTokens);
		const firstTokenMs = usage.computePrefillMs(work) + (fetchedTokens > 0 ? prefixFetchMs + computeTransferMs(fetchedTokens, needs) : 0);
		const computeCostMs = (tokens: number, weight: number) => tokens > 0 ? usage.computeBusyMs(createPrefillWork(tokens, promptTokens)) * weight : 0;
		return {
			view,
			prefixSource: fetchedTokens > 0 ? holder : undefined,
			work,
			firstTokenMs,
			costMs: firstTokenMs
				+ computeCostMs(repeatedTokens, repeatedReadWeight)
				+ computeCostMs(fetchedTokens, copyWeight)
				+ computeCostMs(newTokens, copyWeight * computeHomeDistance(view, needs)),
		};
	});
}
