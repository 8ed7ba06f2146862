import {setImmediate as waitTurn} from 'node:timers/promises';
import {TimerService} from './service.js';
import type {Timer} from './service.js';

type PendingTimer = {readonly dueAt: number; readonly sequence: number; readonly action: () => void};

/**
Timer service for tests; time moves only when a test calls `advance` or `shiftWallTime`.

@example
```
const timers = new ManualTimers();
await timers.advance(5000);
```
*/
export class ManualTimers extends TimerService {
	#now = 0;
	#wallOffsetMs: number;
	#sequence = 0;
	readonly #pending = new Set<PendingTimer>();

	constructor(wallStartMs = 1_700_000_000_000) {
		super();
		this.#wallOffsetMs = wallStartMs;
	}

	getNow(): number {
		return this.#now;
	}

	getWallTime(): number {
		return this.#now + this.#wallOffsetMs;
	}

	startTimer(delayMs: number, action: () => void): Timer {
		const pending = {dueAt: this.#now + Math.max(0, delayMs), sequence: this.#sequence++, action};
		this.#pending.add(pending);
		return {
			cancel: () => {
				this.#pending.delete(pending);
			},
		};
	}

	/** Shifts the wall clock by `ms` milliseconds and leaves the monotonic clock as it is, as a suspension of the VM does. */
	shiftWallTime(ms: number): void {
		this.#wallOffsetMs += ms;
	}

	/** Advances both clocks by `ms` milliseconds. Runs due timers in order of their due time; promises settle after each. */
	async advance(ms: number): Promise<void> {
		const endAt = this.#now + ms;
		await settlePromises();
		for (let nextTimer = this.#findNext(endAt); nextTimer; nextTimer = this.#findNext(endAt)) {
			this.#pending.delete(nextTimer);
			this.#now = Math.max(this.#now, nextTimer.dueAt);
			nextTimer.action();
			await settlePromises();
		}

		this.#now = endAt;
	}

	/** Counts the pending timers. */
	countPending(): number {
		return this.#pending.size;
	}

	#findNext(endAt: number): PendingTimer | undefined {
		let found: PendingTimer | undefined;
		for (const pending of this.#pending) {
			if (pending.dueAt <= endAt && (!found || pending.dueAt < found.dueAt || (pending.dueAt === found.dueAt && pending.sequence < found.sequence))) {
				found = pending;
			}
		}

		return found;
	}
}

async function settlePromises(): Promise<void> {
	await waitTurn();
	await waitTurn();
}
