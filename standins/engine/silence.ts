import type {GenerateEvent} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import type {EventSink} from './sequence.js';

/** Times in which an engine neither reads nor sends, keeps its connections and accepts new ones; it goes on afterwards where it was. */
export class Silence {
	readonly #timers: TimerService;
	/** Monotonic, in milliseconds. */
	#endsAt = Number.NEGATIVE_INFINITY;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Whether the engine is silent now. */
	get isActive(): boolean {
		return this.#timers.getNow() < this.#endsAt;
	}

	/** Starts a silence of `durationMs` milliseconds, or makes one that has begun as long. */
	start(durationMs: number): void {
		this.#endsAt = Math.max(this.#endsAt, this.#timers.getNow() + durationMs);
	}

	/** Waits until the engine is not silent. */
	async wait(): Promise<void> {
		while (this.isActive) {
			await this.#timers.sleep(this.#endsAt - this.#timers.getNow());
		}
	}

	/** Returns a sink that passes on to `sink` what comes while the engine is not silent, and the rest in order after the silence. */
	wrapSink(sink: EventSink): EventSink {
		return new HeldBackSink(sink, this);
	}
}

class HeldBackSink implements EventSink {
	readonly #held: Array<() => void> = [];
	#isFlushing = false;

	constructor(private readonly sink: EventSink, private readonly silence: Silence) {}

	onEvent(event: GenerateEvent): void {
		this.#write(() => {
			this.sink.onEvent(event);
		});
	}

	onCut(reason: string): void {
		this.#write(() => {
			this.sink.onCut(reason);
		});
	}

	#write(action: () => void): void {
		if (!this.silence.isActive && this.#held.length === 0) {
			action();
			return;
		}

		this.#held.push(action);
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			void this.#writeHeld();
		}
	}

	async #writeHeld(): Promise<void> {
		await this.silence.wait();
		this.#isFlushing = false;
		for (const action of this.#held.splice(0)) {
			action();
		}
	}
}
