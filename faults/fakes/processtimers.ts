import {TimerService} from '../../src/timers/index.js';
import type {Timer} from '../../src/timers/index.js';

/** One process's view of a shared timer service: a frozen process runs what fell due when it wakes, a killed one never. */
export class ProcessTimers extends TimerService {
	/** Shift of this process's wall clock, in milliseconds. */
	wallShift = 0;
	#isFrozen = false;
	#isKilled = false;
	readonly #base: TimerService;
	readonly #waiting = new Set<{readonly action: () => void}>();

	constructor(base: TimerService) {
		super();
		this.#base = base;
	}

	getNow(): number {
		return this.#base.getNow();
	}

	getWallTime(): number {
		return this.#base.getWallTime() + this.wallShift;
	}

	startTimer(delayMs: number, action: () => void): Timer {
		const entry = {action};
		const timer = this.#base.startTimer(delayMs, () => {
			if (this.#isKilled) {
				return;
			}

			if (this.#isFrozen) {
				this.#waiting.add(entry);
			} else {
				action();
			}
		});
		return {
			cancel: () => {
				timer.cancel();
				this.#waiting.delete(entry);
			},
		};
	}

	/** Stops the process where it stands. */
	stop(): void {
		this.#isFrozen = true;
	}

	/** Lets it go on. */
	resume(): void {
		this.#isFrozen = false;
		for (const entry of this.#waiting) {
			this.#waiting.delete(entry);
			entry.action();
		}
	}

	/** Ends the process for good. */
	abort(): void {
		this.#isKilled = true;
	}
}
