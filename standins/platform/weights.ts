import type {TimerService} from '../../src/timers/index.js';

/** The weight store's rate: loads follow one another. */
export class WeightRate {
	#free = 0;

	constructor(private readonly timers: TimerService, private readonly bytesPerMs: number) {}

	/** Takes a load of `bytes` and returns the milliseconds until it is done. */
	take(bytes: number): number {
		const now = this.timers.getNow();
		this.#free = Math.max(this.#free, now) + (bytes / this.bytesPerMs);
		return this.#free - now;
	}
}
