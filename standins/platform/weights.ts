import type {TimerService} from '../../src/timers/index.js';

/** The weight store's rate: loads follow one another. */
export class WeightTransfers {
	#freeAt = 0;

	constructor(private readonly timers: TimerService, private readonly bytesPerMs: number) {}

	/** Takes a load of `bytes` and returns the milliseconds until it is done. */
	schedule(bytes: number): number {
		const now = this.timers.getNow();
		this.#freeAt = Math.max(this.#freeAt, now) + (bytes / this.bytesPerMs);
		return this.#freeAt - now;
	}
}
