import type {TimerService} from '../timers/index.js';
import type {Attempt} from './attempt.js';

/**
The attempts at one request whose answers may still come: the one that is waited for, and earlier ones that fell silent. The earliest is first.

@example
```
const attempt = await attempts.waitForNews(dueAt);
const events = attempt?.takeEvents(offset);
```
*/
export class OpenAttempts {
	readonly #attempts = new Set<Attempt>();
	readonly #timers: TimerService;
	#wake: (() => void) | undefined;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Number of attempts. */
	get size(): number {
		return this.#attempts.size;
	}

	/** Whether the answer of an attempt is expected, which has not been silent for too long. */
	get hasActive(): boolean {
		return this.list().some(attempt => !attempt.isSilent);
	}

	/** Adds an attempt that was sent. */
	add(attempt: Attempt): void {
		this.#attempts.add(attempt);
	}

	/** Removes an attempt that has ended. */
	delete(attempt: Attempt): void {
		this.#attempts.delete(attempt);
	}

	/** Lists the attempts, the earliest first. */
	list(): readonly Attempt[] {
		return [...this.#attempts];
	}

	/** Whether attempts are at more than one engine. */
	get hasSeveralEngines(): boolean {
		return new Set(this.list().map(({placement}) => placement.upstream.id)).size > 1;
	}

	/** Whether an attempt is at this engine. */
	hasEngine(upstream: string): boolean {
		return this.list().some(({placement}) => placement.upstream.id === upstream);
	}

	/** To be called when there is something to take from an attempt. */
	onNews(): void {
		this.#wake?.();
	}

	/** Finds an attempt from which there is something to take; one with events comes first. */
	findNews(): Attempt | undefined {
		const attempts = this.list();
		return attempts.findLast(({hasEvents}) => hasEvents) ?? attempts.find(({hasNews}) => hasNews);
	}

	/** Waits until there is something to take from an attempt, and returns it; `undefined` when there is nothing by the monotonic time `dueAt`. */
	async waitForNews(dueAt = Number.POSITIVE_INFINITY): Promise<Attempt | undefined> {
		for (const attempt of this.#attempts) {
			attempt.startWaiting();
		}

		const known = this.findNews();
		const delayMs = dueAt - this.#timers.getNow();
		if (known !== undefined || delayMs <= 0) {
			return known;
		}

		await new Promise<void>(resolve => {
			const timer = Number.isFinite(delayMs) ? this.#timers.startTimer(delayMs, onEnd) : undefined;
			function onEnd() {
				timer?.cancel();
				resolve();
			}

			this.#wake = onEnd;
		});
		this.#wake = undefined;
		return this.findNews();
	}

	/** Creates a signal that is aborted as soon as there is something to take from an attempt. Ends an earlier wait and an earlier signal. */
	createNewsSignal(): AbortSignal {
		const controller = new AbortController();
		if (this.findNews()) {
			controller.abort();
		} else {
			this.#wake = () => {
				controller.abort();
			};
		}

		return controller.signal;
	}
}
