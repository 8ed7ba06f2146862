import type {CacheEvent} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';

const maxEvents = 4000;

/** Every event with this remainder is never told, so that readers meet gaps. */
const gapInterval = 17;

/** An event and the time from which it may be read. */
type DelayedEvent = {readonly event: CacheEvent; readonly readableAt: number};

/** Prefix blocks in limited memory, least recently used first out; its events come late and with gaps. */
export class PrefixCache {
	readonly #blocks = new Map<string, true>();
	readonly #events: DelayedEvent[] = [];
	#sequence = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly capacity: number,
		private readonly lagMs: number,
	) {}

	/** Counts the leading blocks of a prompt that are held, and marks them as used. */
	countCachedBlocks(prefixes: readonly string[]): number {
		let blockCount = 0;
		while (blockCount < prefixes.length && this.#blocks.has(prefixes[blockCount]!)) {
			this.#markUsed(prefixes[blockCount]!);
			blockCount++;
		}

		return blockCount;
	}

	/** Stores the blocks of a prompt that was read. */
	add(prefixes: readonly string[]): void {
		for (const prefix of prefixes.slice(0, this.capacity)) {
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

	/** Lists the events above `afterSequence` that may be read by now. */
	listEvents(afterSequence: number): CacheEvent[] {
		const now = this.timers.getNow();
		return this.#events.filter(({event, readableAt}) => event.sequence > afterSequence && readableAt <= now).map(({event}) => event);
	}

	/** Forgets everything, as a restart does. */
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
