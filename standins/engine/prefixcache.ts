import type {CacheEvent} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';

/** Largest number of events in memory; the oldest are dropped. */
const maxEvents = 4000;

/** One event of this many is never published, so that readers have to handle gaps in the sequence. */
const gapInterval = 17;

/** An event and the time from which it is visible to readers. */
type DelayedEvent = {readonly event: CacheEvent; readonly readableAt: number};

/** Cache of prefix blocks with a limited size, which evicts the least recently used blocks first. Its events are published late and with gaps. */
export class PrefixCache {
	readonly #blocks = new Map<string, true>();
	readonly #events: DelayedEvent[] = [];
	#sequence = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly capacity: number,
		private readonly lagMs: number,
	) {}

	/** Counts the leading blocks of a prompt that are cached, and marks them as used. */
	countCachedBlocks(prefixHashes: readonly string[]): number {
		let blockCount = 0;
		while (blockCount < prefixHashes.length && this.#blocks.has(prefixHashes[blockCount]!)) {
			this.#markUsed(prefixHashes[blockCount]!);
			blockCount++;
		}

		return blockCount;
	}

	/** Adds the blocks of a prompt that was prefilled, and evicts blocks beyond the capacity. */
	add(prefixHashes: readonly string[]): void {
		for (const prefix of prefixHashes.slice(0, this.capacity)) {
			if (!this.#blocks.has(prefix)) {
				this.#publishEvent('stored', prefix);
			}

			this.#markUsed(prefix);
		}

		for (const prefix of this.#blocks.keys()) {
			if (this.#blocks.size <= this.capacity) {
				return;
			}

			this.#blocks.delete(prefix);
			this.#publishEvent('evicted', prefix);
		}
	}

	/** Lists the events after `afterSequence` that are visible to readers now. */
	listEvents(afterSequence: number): CacheEvent[] {
		const now = this.timers.getNow();
		return this.#events.filter(({event, readableAt}) => event.sequence > afterSequence && readableAt <= now).map(({event}) => event);
	}

	/** Drops all blocks and events, as a restart does. */
	reset(): void {
		this.#blocks.clear();
		this.#events.length = 0;
		this.#sequence = 0;
	}

	#markUsed(prefix: string): void {
		this.#blocks.delete(prefix);
		this.#blocks.set(prefix, true);
	}

	#publishEvent(kind: CacheEvent['kind'], prefix: string): void {
		this.#sequence++;
		if (this.#sequence % gapInterval === 0) {
			return;
		}

		this.#events.push({event: {sequence: this.#sequence, kind, prefix}, readableAt: this.timers.getNow() + this.lagMs});
		if (this.#events.length > maxEvents) {
			this.#events.shift();
		}
	}
}
