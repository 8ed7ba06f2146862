import {computeRendezvousScore, maxRendezvousScore} from '../rates/index.js';

/** Maximum number of pairs of engine and prefix that are remembered. */
const maxEntries = 20_000;

/**
Which prefixes of prompts each engine is believed to have cached, by the engines' cache events, which arrive late and with
gaps, and by what this entry has sent. Each prompt also has a home engine, chosen by rendezvous hashing of its first block.
It is the same at every entry, so that all entries send prompts with a prefix that is not known to be cached to one engine.
*/
export class PrefixCacheIndex {
	/** Keys of engine and prefix, the least recently used first. */
	readonly #entries = new Map<string, true>();
	readonly #capacity: number;

	constructor(capacity = maxEntries) {
		this.#capacity = capacity;
	}

	/** Records that an engine has cached prefixes. */
	add(engine: string, prefixes: readonly string[]): void {
		for (const prefix of prefixes) {
			const key = `${engine}\n${prefix}`;
			this.#entries.delete(key);
			this.#entries.set(key, true);
		}

		for (const key of this.#entries.keys()) {
			if (this.#entries.size <= this.#capacity) {
				break;
			}

			this.#entries.delete(key);
		}
	}

	/** Records that an engine has evicted a prefix. */
	remove(engine: string, prefix: string): void {
		this.#entries.delete(`${engine}\n${prefix}`);
	}

	/** Forgets all prefixes of an engine, because it restarted or its cache events were missed. */
	forget(engine: string): void {
		for (const key of this.#entries.keys()) {
			if (key.startsWith(`${engine}\n`)) {
				this.#entries.delete(key);
			}
		}
	}

	/** Computes the share of a prompt's blocks, 0 to 1, that an engine is believed to have cached; `prefixes` are as in `RoutingRequest`. */
	computeCachedShare(engine: string, prefixes: readonly string[]): number {
		for (let index = prefixes.length - 1; index >= 0; index--) {
			if (this.#entries.has(`${engine}\n${prefixes[index]}`)) {
				return (index + 1) / prefixes.length;
			}
		}

		return 0;
	}

	/** Computes how strongly a prompt's first block prefers an engine, 0 to 1: the engine with the highest value is its home. */
	computeHomeAffinity(engine: string, prefixes: readonly string[]): number {
		const [first] = prefixes;
		return first === undefined ? 0 : computeRendezvousScore(first, engine) / maxRendezvousScore;
	}
}
