import type {EngineView} from './engine.js';

/** Part of a prompt that several requests share. */
export type PrefixBlock = {
	readonly id: string;
	readonly tokens: number;
};

/** Share of an engine's KV memory that is assumed to hold cached blocks; requests in progress need the rest. */
const cacheShare = 0.85;

/** `pendingReads` counts the prompts in progress that read the block while no earlier one has. */
type CachedBlock = {readonly tokens: number; readonly pendingReads: number};

/** Blocks that one engine is believed to hold or to read, the least recently used first. */
class EngineCache {
	readonly #blocks = new Map<string, CachedBlock>();
	#tokens = 0;

	get(id: string): CachedBlock | undefined {
		return this.#blocks.get(id);
	}

	/** Sets a block and makes it the most recently used one. */
	set(id: string, block: CachedBlock): void {
		this.delete(id);
		this.#blocks.set(id, block);
		this.#tokens += block.tokens;
	}

	delete(id: string): void {
		const block = this.#blocks.get(id);
		if (block) {
			this.#blocks.delete(id);
			this.#tokens -= block.tokens;
		}
	}

	evict(capacityTokens: number): void {
		for (const id of this.#blocks.keys()) {
			if (this.#tokens <= capacityTokens * cacheShare) {
				return;
			}

			this.delete(id);
		}
	}
}

/**
Which blocks each engine is believed to hold, inferred from what was sent to it: blocks that it prefilled, fetched from
another engine, or received with a prompt that was prefilled elsewhere. A block that an engine is still reading is pending:
a further prompt at that engine will find it, but no other engine can fetch it yet.
*/
export class PrefixCacheIndex {
	readonly #caches = new WeakMap<EngineView, EngineCache>();

	/** Records that an engine holds or will read the blocks of a prompt; `capacityTokens` is the size of its KV memory. Those that it does not hold are pending until `finishRead`. */
	startRead(view: EngineView, blocks: readonly PrefixBlock[], capacityTokens: number): void {
		const cache = this.#getCache(view);
		for (const {id, tokens} of blocks) {
			const known = cache.get(id);
			const isHeld = known?.pendingReads === 0;
			cache.set(id, {tokens, pendingReads: isHeld ? 0 : (known?.pendingReads ?? 0) + 1});
		}

		cache.evict(capacityTokens);
	}

	/** Records the blocks that an engine says it holds, beside those that are known already. */
	addHeld(view: EngineView, blocks: readonly PrefixBlock[], capacityTokens: number): void {
		const cache = this.#getCache(view);
		for (const {id, tokens} of blocks) {
			const known = cache.get(id);
			if (known?.pendingReads !== 0) {
				cache.set(id, {tokens, pendingReads: 0});
			}
		}

		cache.evict(capacityTokens);
	}

	/** Records that an engine has read the blocks of a prompt of `startRead`, or failed to. */
	finishRead(view: EngineView, blocks: readonly PrefixBlock[], hasRead: boolean): void {
		const cache = this.#getCache(view);
		for (const {id} of blocks) {
			const known = cache.get(id);
			if (!known || known.pendingReads === 0) {
				continue;
			}

			if (hasRead) {
				cache.set(id, {tokens: known.tokens, pendingReads: 0});
			} else if (known.pendingReads === 1) {
				cache.delete(id);
			} else {
				cache.set(id, {tokens: known.tokens, pendingReads: known.pendingReads - 1});
			}
		}
	}

	/**
	Counts the tokens of the blocks that an engine has to prefill or fetch: it can use a block only with all blocks before it.
	Pending blocks count as held where `arePendingHeld` is set.
	*/
	countMissingTokens(view: EngineView, blocks: readonly PrefixBlock[], arePendingHeld: boolean): number {
		const cache = this.#caches.get(view);
		let missingTokens = 0;
		for (const block of blocks) {
			const known = cache?.get(block.id);
			const isHeld = known !== undefined && (arePendingHeld || known.pendingReads === 0);
			if (missingTokens > 0 || !isHeld) {
				missingTokens += block.tokens;
			}
		}

		return missingTokens;
	}

	#getCache(view: EngineView): EngineCache {
		const cache = this.#caches.get(view) ?? new EngineCache();
		this.#caches.set(view, cache);
		return cache;
	}
}
