import {computeRendezvousScore, maxRendezvousScore} from '../rates/index.js';

const maxEntries = 20_000;

/**
Where prefixes of prompts are thought to be cached: from cache events, which come late and with gaps, and from this
entry's own recent placements. A prefix that nobody knows has a home, the same in the eyes of every entry.
*/
export class PrefixCacheIndex {
	/** Engine and prefix, in the order of last use. */
	readonly #entries = new Map<string, true>();
	readonly #capacity: number;

	constructor(capacity = maxEntries) {
		this.#capacity = capacity;
	}

	/** Marks prefixes as cached at an engine. */
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

	/** Marks a prefix as evicted at an engine. */
	remove(engine: string, prefix: string): void {
		this.#entries.delete(`${engine}\n${prefix}`);
	}

	/** Drops everything about an engine: it started anew, or events were missed. */
	forget(engine: string): void {
		for (const key of this.#entries.keys()) {
			if (key.startsWith(`${engine}\n`)) {
				this.#entries.delete(key);
			}
		}
	}

	/** Computes the share of a prompt, 0 to 1, that an engine is thought to have cached. */
	computeCachedShare(engine: string, prefixes: readonly string[]): number {
		for (let index = prefixes.length - 1; index >= 0; index--) {
			if (this.#entries.has(`${engine}\n${prefixes[index]}`)) {
				return (index + 1) / prefixes.length;
			}
		}

		return 0;
	}

	/** Computes how near an engine is to a prefix's home, 0 to 1. */
	computeHomeAffinity(engine: string, prefixes: readonly string[]): number {
		const [first] = prefixes;
		return first === undefined ? 0 : computeRendezvousScore(first, engine) / maxRendezvousScore;
	}
}
