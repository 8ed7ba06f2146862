import type {EngineView} from './engine.js';

/** One shared part of a prompt. */
export type SharedPart = {
	readonly id: string;
	readonly tokens: number;
};

/** Part of an engine's memory that shared parts are believed to have; requests in progress need the rest. */
const cacheShare = 0.85;

/** Shared parts that one engine is believed to have, the least recently used first. */
class EngineCache {
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	has(id: string): boolean {
		return this.#parts.has(id);
	}

	add(parts: readonly SharedPart[], capacity: number): void {
		for (const {id, tokens} of parts) {
			this.#tokens += tokens - (this.#parts.get(id) ?? 0);
			this.#parts.delete(id);
			this.#parts.set(id, tokens);
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= capacity * cacheShare) {
				return;
			}

			this.#parts.delete(id);
			this.#tokens -= tokens;
		}
	}
}

/** Which engine is believed to have which shared parts, by what was sent to it: read there, fetched, or handed over. */
export class CachePicture {
	readonly #caches = new WeakMap<EngineView, EngineCache>();

	/** Notes that an engine has the parts from now on; `capacity` is its memory in tokens. */
	add(view: EngineView, parts: readonly SharedPart[], capacity: number): void {
		let cache = this.#caches.get(view);
		if (!cache) {
			cache = new EngineCache();
			this.#caches.set(view, cache);
		}

		cache.add(parts, capacity);
	}

	/** Counts the tokens that an engine lacks: a part helps only with all parts before it. */
	countMissing(view: EngineView, parts: readonly SharedPart[]): number {
		const cache = this.#caches.get(view);
		let missing = 0;
		for (const part of parts) {
			if (missing > 0 || !cache?.has(part.id)) {
				missing += part.tokens;
			}
		}

		return missing;
	}
}
