import type {EngineView} from './engine.js';

/** One shared part of a prompt. */
export type PrefixBlock = {
	readonly id: string;
	readonly tokens: number;
};

/** Part of an engine's memory that shared parts are believed to have; requests in progress need the rest. */
const cacheShare = 0.85;

/** Shared parts that one engine is believed to have, the least recently used first. */
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

/** Which engine is believed to have which shared parts, by what was sent to it: read there, fetched, or handed over. */
export class PrefixCacheIndex {
	readonly #caches = new WeakMap<EngineView, EngineCache>();

	/** Notes that an engine has the parts from now on; `capacityTokens` is its memory in tokens. */
	add(view: EngineView, blocks: readonly PrefixBlock[], capacityTokens: number): void {
		let cache = this.#caches.get(view);
		if (!cache) {
			cache = new EngineCache();
			this.#caches.set(view, cache);
		}

		cache.add(blocks, capacityTokens);
	}

	/** Counts the tokens that an engine lacks: a part helps only with all parts before it. */
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
