import type {CacheEvent} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';

const maxEvents = 4000;

/** Every event with this remainder is never told, so that readers meet gaps. */
const gapPeriod = 17;

/** An event and the time from which it may be read. */
type Late = {readonly event: CacheEvent; readonly due: number};

/** Prefix blocks in limited memory, least recently used first out; its events come late and with gaps. */
export class PrefixCache {
	readonly #blocks = new Map<string, true>();
	readonly #events: Late[] = [];
	#sequence = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly capacity: number,
		private readonly lagMs: number,
	) {}

	/** Counts the leading blocks of a prompt that are held, and marks them as used. */
	countHeld(prefixes: readonly string[]): number {
		let held = 0;
		while (held < prefixes.length && this.#blocks.has(prefixes[held]!)) {
			this.#markUsed(prefixes[held]!);
			held++;
		}

		return held;
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
		return this.#events.filter(({event, due}) => event.sequence > afterSequence && due <= now).map(({event}) => event);
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
		if (this.#sequence % gapPeriod === 0) {
			return;
		}

		this.#events.push({event: {sequence: this.#sequence, kind, prefix}, due: this.timers.getNow() + this.lagMs});
		if (this.#events.length > maxEvents) {
			this.#events.shift();
		}
	}
}
