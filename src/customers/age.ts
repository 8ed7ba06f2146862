import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, TimerService} from '../timers/index.js';

/**
Age of what this process knows of the configuration: the time since the latest moment at which the store's newest configuration is
known to have been the one applied here. It counts suspensions of the VM, so that a process that resumes does not take old knowledge for new.
*/
export class KnowledgeAge {
	readonly #timers: TimerService;
	/** When the latest knowledge came, and its age then, in milliseconds; `undefined` before the first. */
	#known: {readonly at: ClockReading; readonly ageMs: number} | undefined;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Records that the configuration in force is known to have been the newest one `ageMs` milliseconds ago. Older knowledge than that at hand changes nothing. */
	onKnown(ageMs: number): void {
		if (ageMs < this.computeAgeMs()) {
			this.#known = {at: readClocks(this.#timers), ageMs};
		}
	}

	/** Computes the age now, in milliseconds; infinite before anything is known. */
	computeAgeMs(): number {
		return this.#known ? this.#known.ageMs + Math.max(0, measureElapsedMs(this.#timers, this.#known.at)) : Number.POSITIVE_INFINITY;
	}

	/** Tells whether the age is below a bound, in milliseconds. */
	isFresh(boundMs: number): boolean {
		return this.computeAgeMs() < boundMs;
	}
}
