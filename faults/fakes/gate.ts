import {TimerService} from '../../src/timers/index.js';
import type {Timer} from '../../src/timers/index.js';

/** Holds back everything that one process does while it is frozen; a killed process is never woken. */
export class Gate {
	isFrozen = false;
	readonly #waiting: Array<() => void> = [];

	/** Waits while the process is frozen. */
	async wait(): Promise<void> {
		while (this.isFrozen) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}
	}

	/** Runs an action now, or when the process wakes. */
	run(action: () => void): void {
		if (this.isFrozen) {
			this.#waiting.push(() => {
				this.run(action);
			});
			return;
		}

		action();
	}

	/** Freezes the process. */
	stop(): void {
		this.isFrozen = true;
	}

	/** Wakes the process. */
	resume(): void {
		this.isFrozen = false;
		for (const wake of this.#waiting.splice(0)) {
			wake();
		}
	}
}

/** The clocks and timers of one process, over those of the test. */
export class ProcessTimers extends TimerService {
	readonly #base: TimerService;
	readonly #gate: Gate;

	constructor(base: TimerService, gate: Gate) {
		super();
		this.#base = base;
		this.#gate = gate;
	}

	getNow(): number {
		return this.#base.getNow();
	}

	getWallTime(): number {
		return this.#base.getWallTime();
	}

	startTimer(delayMs: number, action: () => void): Timer {
		let isCancelled = false;
		const timer = this.#base.startTimer(delayMs, () => {
			this.#gate.run(() => {
				if (!isCancelled) {
					action();
				}
			});
		});
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}
}
