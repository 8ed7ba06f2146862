import {
	BrokenAnswerError, CallerGoneError, DeadlineError, SilentAnswerError,
} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {GenerateEvent} from '../upstreams/index.js';
import type {StreamTimeouts} from './timeouts.js';

/** Largest number of events buffered for a slow caller; while the buffer is full, the engine's connection is not read. */
const maxBufferedEvents = 256;

/** Time bounds of a reader. */
export type ReaderOptions = {
	readonly timers: TimerService;
	readonly timeouts: StreamTimeouts;
	/** Monotonic, in milliseconds. */
	readonly deadlineAt: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Called when there is something to take: events, a silence, or the error that ended the answer. */
	readonly onNews: () => void;
};

/**
Reads an engine's answer ahead into a bounded buffer and returns it in batches. One timer covers both silence and the
deadline, so that no timer has to be started for each token. A silence ends nothing: the answer is read on after it.
*/
export class EventReader {
	#buffer: GenerateEvent[] = [];
	#failure: Error | undefined;
	/** Whether the events so far were taken and more are waited for. */
	#isAwaited = false;
	#isSilent = false;
	#isSilenceTaken = false;
	#resolveSpace: (() => void) | undefined;
	#timer: Timer | undefined;
	#silentSince = 0;
	#silenceTimeoutMs = 0;
	#hasFirstEvent = false;
	readonly #events: AsyncIterator<GenerateEvent>;
	readonly #options: ReaderOptions;
	readonly #onAbort: () => void;

	constructor(events: AsyncIterator<GenerateEvent>, options: ReaderOptions) {
		this.#events = events;
		this.#options = options;
		this.#onAbort = () => {
			this.#fail(new CallerGoneError('the caller has gone'));
		};
	}

	/** Whether {@link takeBatch} has events or an error. */
	get hasNews(): boolean {
		return this.hasEvents || this.#failure !== undefined || (this.#isSilent && !this.#isSilenceTaken);
	}

	/** Whether {@link takeBatch} has events. */
	get hasEvents(): boolean {
		return this.#buffer.length > 0;
	}

	/** Whether the engine was silent for too long and has sent nothing since. */
	get isSilent(): boolean {
		return this.#isSilent;
	}

	/** Requests the first event, which hands the request to the connection in the same turn of the event loop. */
	start(): void {
		const {signal, timeouts, timers} = this.#options;
		signal.addEventListener('abort', this.#onAbort, {once: true});
		if (signal.aborted) {
			this.#onAbort();
		}

		this.#silenceTimeoutMs = timeouts.firstEventTimeoutMs;
		this.#silentSince = timers.getNow();
		this.#watch();
		void this.#readAhead();
	}

	/** Notes that the next events are waited for. Only from then on can the engine be silent for too long. */
	startWaiting(): void {
		if (!this.#isAwaited && !this.hasEvents) {
			// The time that a slow caller took for the previous batch does not count as silence of the engine.
			this.#silentSince = Math.max(this.#silentSince, this.#options.timers.getNow());
			this.#isAwaited = true;
		}
	}

	/**
	Returns all events that are buffered. When there are none, throws the error that ended the answer; or `SilentAnswerError`, once for each silence,
	after which events may still come.
	*/
	takeBatch(): readonly GenerateEvent[] {
		if (!this.hasEvents && this.#failure) {
			throw this.#failure;
		}

		if (!this.hasEvents && this.#isSilent && !this.#isSilenceTaken) {
			this.#isSilenceTaken = true;
			throw new SilentAnswerError(`no event within ${this.#silenceTimeoutMs} ms`);
		}

		const batch = this.#buffer;
		this.#buffer = [];
		this.#resolveSpace?.();
		this.#resolveSpace = undefined;
		return batch;
	}

	/** Stops reading. The connection is closed by whoever opened it. */
	close(): void {
		this.#fail(new CallerGoneError('the reader was closed'));
	}

	async #readAhead(): Promise<void> {
		try {
			while (!this.#failure) {
				const result = await this.#events.next();
				if (result.done) {
					this.#fail(new BrokenAnswerError('the answer ended without its end marker'));
					return;
				}

				this.#onEvent(result.value);
				if (this.#buffer.length >= maxBufferedEvents) {
					await new Promise<void>(resolve => {
						this.#resolveSpace = resolve;
					});
				}
			}
		} catch (error) {
			this.#fail(error instanceof Error ? error : new BrokenAnswerError(String(error)));
		} finally {
			// Lets a client that generates the events one by one release its connection.
			void this.#events.return?.();
		}
	}

	#onEvent(event: GenerateEvent): void {
		if (this.#failure) {
			return;
		}

		this.#buffer.push(event);
		this.#silentSince = this.#options.timers.getNow();
		this.#isAwaited = false;
		if (!this.#hasFirstEvent || this.#isSilent) {
			this.#hasFirstEvent = true;
			this.#isSilent = false;
			this.#isSilenceTaken = false;
			this.#silenceTimeoutMs = this.#options.timeouts.betweenEventsTimeoutMs;
			this.#timer?.cancel();
			this.#watch();
		}

		this.#options.onNews();
	}

	#watch(): void {
		const {timers, deadlineAt} = this.#options;
		const now = timers.getNow();
		const timeoutAt = this.#silentSince + this.#silenceTimeoutMs;
		if (now >= deadlineAt) {
			this.#fail(new DeadlineError('the deadline has passed'));
		} else if (now >= timeoutAt && this.#isAwaited) {
			this.#isSilent = true;
			this.#startTimer(deadlineAt - now);
			this.#options.onNews();
		} else {
			const checkAt = timeoutAt > now ? timeoutAt : now + this.#silenceTimeoutMs;
			this.#startTimer(Math.min(checkAt, deadlineAt) - now);
		}
	}

	#startTimer(delayMs: number): void {
		this.#timer = this.#options.timers.startTimeout(delayMs, () => {
			this.#watch();
		});
	}

	#fail(error: Error): void {
		if (this.#failure) {
			return;
		}

		this.#failure = error;
		this.#timer?.cancel();
		this.#options.signal.removeEventListener('abort', this.#onAbort);
		this.#resolveSpace?.();
		this.#options.onNews();
	}
}
