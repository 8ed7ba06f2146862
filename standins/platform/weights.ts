import type {TimerService} from '../../src/timers/index.js';

/** Transfers from the weight store, which run one after another at its full rate. */
export class WeightTransfers {
	/** Time at which the last scheduled transfer is done, monotonic, in milliseconds. */
	#freeAt = 0;

	constructor(private readonly timers: TimerService, private readonly bytesPerMs: number) {}

	/** Adds a transfer of `bytes` after those already scheduled, and returns the time until it is done, in milliseconds. */
	schedule(bytes: number): number {
		const now = this.timers.getNow();
		this.#freeAt = Math.max(this.#freeAt, now) + (bytes / this.bytesPerMs);
		return this.#freeAt - now;
	}
}
