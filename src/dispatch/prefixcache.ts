import type {EngineView} from './engine.js';

/** Part of a prompt that several requests share. */
export type PrefixBlock = {
	readonly id: string;
	readonly tokens: number;
};

/** Share of an engine's KV memory that is assumed to hold prefix blocks; requests in progress need the rest. */
const cacheShare = 0.85;

/** Prefix blocks that one engine is believed to hold, the least recently used first. */
class EngineCache {
	readonly #blocks = new Map<string, number>();
	#tokens = 0;

	has(id: string): boolean {
		return this.#blocks.has(id);
	}

	add(blocks: readonly PrefixBlock[], capacityTokens: number): void {
		for (const {id, tokens} of blocks) {
			this.#tokens += tokens - (this.#blocks.get(id) ?? 0);
			this.#blocks.delete(id);
			this.#blocks.set(id, tokens);
		}

		for (const [id, tokens] of this.#blocks) {
			if (this.#tokens <= capacityTokens * cacheShare) {
				return;
			}

			this.#blocks.delete(id);
			this.#tokens -= tokens;
		}
	}
}

/**
Which prefix blocks each engine is believed to hold, inferred from what was sent to it: blocks that it prefilled, fetched
from another engine, or received with a prompt that was prefilled elsewhere.
*/
export class PrefixCacheIndex {
	readonly #caches = new WeakMap<EngineView, EngineCache>();

	/** Records that an engine now holds the blocks; `capacityTokens` is the size of its KV memory. */
	add(view: EngineView, blocks: readonly PrefixBlock[], capacityTokens: number): void {
		let cache = this.#caches.get(view);
		if (!cache) {
			cache = new EngineCache();
			this.#caches.set(view, cache);
		}

		cache.add(blocks, capacityTokens);
	}

	/** Counts the tokens of the blocks that an engine has to prefill or fetch: it can use a block only with all blocks before it. */
	countMissingTokens(view: EngineView, blocks: readonly PrefixBlock[]): number {
		const cache = this.#caches.get(view);
		let missingTokens = 0;
		for (const block of blocks) {
			if (missingTokens > 0 || !cache?.has(block.id)) {
				missingTokens += block.tokens;
			}
		}

		return missingTokens;
	}
}
