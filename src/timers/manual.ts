import {setImmediate as waitTurn} from 'node:timers/promises';
import {TimerService} from './service.js';
import type {Timer} from './service.js';

type Pending = {readonly due: number; readonly order: number; readonly action: () => void};

/**
Timer service whose time moves only when a test says so.

@example
```
const timers = new ManualTimers();
await timers.advance(5000);
```
*/
export class ManualTimers extends TimerService {
	#now = 0;
	#wallShift: number;
	#order = 0;
	readonly #pending = new Set<Pending>();

	constructor(wallStartMs = 1_700_000_000_000) {
		super();
		this.#wallShift = wallStartMs;
	}

	getNow(): number {
		return this.#now;
	}

	getWall(): number {
		return this.#now + this.#wallShift;
	}

	startTimer(delayMs: number, action: () => void): Timer {
		const pending = {due: this.#now + Math.max(0, delayMs), order: this.#order++, action};
		this.#pending.add(pending);
		return {
			cancel: () => {
				this.#pending.delete(pending);
			},
		};
	}

	/** Moves the wall clock alone by `ms`, as a suspension of the VM does. */
	shiftWall(ms: number): void {
		this.#wallShift += ms;
	}

	/** Moves both clocks by `ms`, runs what falls due in order and lets promises settle after each. */
	async advance(ms: number): Promise<void> {
		const end = this.#now + ms;
		await settleTurns();
		for (let next = this.#findNext(end); next; next = this.#findNext(end)) {
			this.#pending.delete(next);
			this.#now = Math.max(this.#now, next.due);
			next.action();
			await settleTurns();
		}

		this.#now = end;
	}

	/** Counts the timers that are set. */
	countPending(): number {
		return this.#pending.size;
	}

	#findNext(end: number): Pending | undefined {
		let found: Pending | undefined;
		for (const pending of this.#pending) {
			if (pending.due <= end && (!found || pending.due < found.due || (pending.due === found.due && pending.order < found.order))) {
				found = pending;
			}
		}

		return found;
	}
}

async function settleTurns(): Promise<void> {
	await waitTurn();
	await waitTurn();
}
