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
};

/**
Reads an engine's answer ahead into a bounded buffer and returns it in batches. One timer covers both silence and the
deadline, so that no timer has to be started for each token.
*/
export class EventReader {
	#buffer: GenerateEvent[] = [];
	#failure: Error | undefined;
	#resolveRead: (() => void) | undefined;
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

	/** Waits for events and returns all that are buffered. Once they are used up, throws the error that ended the answer. */
	async readBatch(): Promise<readonly GenerateEvent[]> {
		if (this.#buffer.length === 0 && !this.#failure) {
			// The time that a slow caller took for the previous batch does not count as silence of the engine.
			this.#silentSince = Math.max(this.#silentSince, this.#options.timers.getNow());
			await new Promise<void>(resolve => {
				this.#resolveRead = resolve;
			});
		}

		if (this.#buffer.length === 0) {
			throw this.#failure ?? new BrokenAnswerError('the answer broke off');
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
		if (!this.#hasFirstEvent) {
			this.#hasFirstEvent = true;
			this.#silenceTimeoutMs = this.#options.timeouts.betweenEventsTimeoutMs;
			this.#timer?.cancel();
			this.#watch();
		}

		this.#notifyReader();
	}

	#watch(): void {
		const {timers, deadlineAt} = this.#options;
		const now = timers.getNow();
		const timeoutAt = this.#silentSince + this.#silenceTimeoutMs;
		if (now >= deadlineAt) {
			this.#fail(new DeadlineError('the deadline has passed'));
		} else if (now >= timeoutAt && this.#resolveRead) {
			this.#fail(new SilentAnswerError(`no event within ${this.#silenceTimeoutMs} ms`));
		} else {
			const checkAt = timeoutAt > now ? timeoutAt : now + this.#silenceTimeoutMs;
			this.#timer = timers.startTimer(Math.min(checkAt, deadlineAt) - now, () => {
				this.#watch();
			});
		}
	}

	#fail(error: Error): void {
		if (this.#failure) {
			return;
		}

		this.#failure = error;
		this.#timer?.cancel();
		this.#options.signal.removeEventListener('abort', this.#onAbort);
		this.#resolveSpace?.();
		this.#notifyReader();
	}

	#notifyReader(): void {
		this.#resolveRead?.();
		this.#resolveRead = undefined;
	}
}
