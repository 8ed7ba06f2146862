import {
	BrokenAnswerError, CallerGoneError, DeadlineError, SilentAnswerError,
} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {GenerateEvent} from '../upstreams/index.js';
import type {StreamLimits} from './limits.js';

/** Most events held for a caller that takes them slowly; then the engine's connection is read no further. */
const maxBufferedEvents = 256;

/** What bounds a reader in time. */
export type ReaderBounds = {
	readonly timers: TimerService;
	readonly limits: StreamLimits;
	/** On the monotonic clock, in milliseconds. */
	readonly due: number;
	readonly signal: AbortSignal;
};

/**
Reads an engine's answer ahead into a bounded buffer and hands it out in batches. One timer watches over
silence and the deadline, so that a token costs no timer of its own.
*/
export class EventReader {
	#buffer: GenerateEvent[] = [];
	#failure: Error | undefined;
	#wake: (() => void) | undefined;
	#onSpace: (() => void) | undefined;
	#timer: Timer | undefined;
	#silentSince = 0;
	#limitMs = 0;
	#hasBegun = false;
	readonly #events: AsyncIterator<GenerateEvent>;
	readonly #bounds: ReaderBounds;
	readonly #onAbort: () => void;

	constructor(events: AsyncIterator<GenerateEvent>, bounds: ReaderBounds) {
		this.#events = events;
		this.#bounds = bounds;
		this.#onAbort = () => {
			this.#abort(new CallerGoneError('the caller has gone'));
		};
	}

	/** Asks for the first event, which hands the request to the connection in this turn. */
	start(): void {
		const {signal, limits, timers} = this.#bounds;
		signal.addEventListener('abort', this.#onAbort, {once: true});
		if (signal.aborted) {
			this.#onAbort();
		}

		this.#limitMs = limits.firstEventMs;
		this.#silentSince = timers.getNow();
		this.#watch();
		void this.#readAhead();
	}

	/** Waits for events and returns all that are there. Throws the answer's failure after its last event. */
	async readBatch(): Promise<readonly GenerateEvent[]> {
		if (this.#buffer.length === 0 && !this.#failure) {
			// Time in which the caller was slow does not count as the engine's silence.
			this.#silentSince = Math.max(this.#silentSince, this.#bounds.timers.getNow());
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		if (this.#buffer.length === 0) {
			throw this.#failure ?? new BrokenAnswerError('the answer broke off');
		}

		const batch = this.#buffer;
		this.#buffer = [];
		this.#onSpace?.();
		this.#onSpace = undefined;
		return batch;
	}

	/** Ends the reading; the connection is closed by whoever opened it. */
	close(): void {
		this.#abort(new CallerGoneError('the reader was closed'));
	}

	async #readAhead(): Promise<void> {
		try {
			while (!this.#failure) {
				const turn = await this.#events.next();
				if (turn.done) {
					this.#abort(new BrokenAnswerError('the answer ended without its end marker'));
					return;
				}

				this.#onEvent(turn.value);
				if (this.#buffer.length >= maxBufferedEvents) {
					await new Promise<void>(resolve => {
						this.#onSpace = resolve;
					});
				}
			}
		} catch (error) {
			this.#abort(error instanceof Error ? error : new BrokenAnswerError(String(error)));
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
		this.#silentSince = this.#bounds.timers.getNow();
		if (!this.#hasBegun) {
			this.#hasBegun = true;
			this.#limitMs = this.#bounds.limits.betweenEventsMs;
			this.#timer?.cancel();
			this.#watch();
		}

		this.#onReady();
	}

	#watch(): void {
		const {timers, due} = this.#bounds;
		const now = timers.getNow();
		const silentAt = this.#silentSince + this.#limitMs;
		if (now >= due) {
			this.#abort(new DeadlineError('the deadline has passed'));
		} else if (now >= silentAt && this.#wake) {
			this.#abort(new SilentAnswerError(`no event within ${this.#limitMs} ms`));
		} else {
			const next = silentAt > now ? silentAt : now + this.#limitMs;
			this.#timer = timers.startTimer(Math.min(next, due) - now, () => {
				this.#watch();
			});
		}
	}

	#abort(error: Error): void {
		if (this.#failure) {
			return;
		}

		this.#failure = error;
		this.#timer?.cancel();
		this.#bounds.signal.removeEventListener('abort', this.#onAbort);
		this.#onSpace?.();
		this.#onReady();
	}

	#onReady(): void {
		this.#wake?.();
		this.#wake = undefined;
	}
}
