import {
	BrokenAnswerError, CallerGoneError, DeadlineError, SilentAnswerError,
} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {GenerateEvent} from '../upstreams/index.js';
import type {StreamTimeouts} from './timeouts.js';

/** Most events held for a caller that takes them slowly; then the engine's connection is read no further. */
const maxBufferedEvents = 256;

/** What bounds a reader in time. */
export type ReaderOptions = {
	readonly timers: TimerService;
	readonly timeouts: StreamTimeouts;
	/** On the monotonic clock, in milliseconds. */
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};

/**
Reads an engine's answer ahead into a bounded buffer and hands it out in batches. One timer watches over
silence and the deadline, so that a token costs no timer of its own.
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

	/** Asks for the first event, which hands the request to the connection in this turn. */
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

	/** Waits for events and returns all that are there. Throws the answer's failure after its last event. */
	async readBatch(): Promise<readonly GenerateEvent[]> {
		if (this.#buffer.length === 0 && !this.#failure) {
			// Time in which the caller was slow does not count as the engine's silence.
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

	/** Ends the reading; the connection is closed by whoever opened it. */
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
			// A client that hands out events one by one waits here to give its connection back.
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
