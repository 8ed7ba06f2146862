import {engineOutcome} from '../dispatch/index.js';
import type {EngineView, StreamPace} from '../dispatch/index.js';
import {BrokenAnswerError} from '../errors/index.js';
import type {Reservation} from '../places/index.js';
import type {TimerService} from '../timers/index.js';
import {Attempt} from './attempt.js';
import type {AttemptOptions} from './attempt.js';
import {checkContinuation, EventSplitter, hasEvent} from './events.js';
import type {CompleteEvents} from './events.js';
import type {GatewayDependencies, ServedRequest} from './served.js';

/** Options of a {@link StreamSend}. */
export type StreamSendOptions = Omit<AttemptOptions, 'onSilence' | 'onSilenceChange'>;

/** Smallest number of times between events from which the pace of an engine is told: fewer may all lie in one slow moment. */
const minPaceIntervals = 4;

/** One send of a generation to its reserved decode engine, whose stream is read event by event. */
export class StreamSend {
	readonly attempt: Attempt;
	/** Called at the end of each silence timeout while the engine is silent. */
	onSilence: (() => void) | undefined;
	readonly #served: ServedRequest;
	readonly #options: AttemptOptions;
	readonly #reservation: Reservation;
	readonly #timers: TimerService;
	readonly #splitter = new EventSplitter();
	#hasEnded = false;
	#opened: Promise<void> | undefined;
	#chunks: AsyncGenerator<Uint8Array, void> | undefined;
	#pendingRead: Promise<CompleteEvents | undefined> | undefined;
	/** Id of the event after which the engine continues a stream; `undefined` for a stream of its own. */
	#lastId: string | undefined;
	/** Whether the engine has sent an event. */
	#hasEvent = false;
	/** Monotonic times of its first and latest events, in milliseconds, and the number of times between events that they span. */
	#firstEventAt = 0;
	#latestEventAt = 0;
	#intervalCount = -1;

	constructor(dependencies: GatewayDependencies, served: ServedRequest, {reservation, engine}: {readonly reservation: Reservation; readonly engine: EngineView}, options: StreamSendOptions) {
		this.#served = served;
		this.#timers = dependencies.timers;
		this.#reservation = reservation;
		this.#lastId = options.purpose === 'resume' ? options.resumeAfter : undefined;
		this.#options = {
			...options,
			onSilence: () => {
				this.onSilence?.();
			},
			onSilenceChange(isSilent) {
				reservation.onSilence(isSilent);
			},
		};
		this.attempt = new Attempt(dependencies, served, engine, this.#options);
	}

	/** Id of the engine. */
	get engineId(): string {
		return this.attempt.view.record.id;
	}

	/** Whether the engine has accepted the request and answers it with a stream of its own; one that resumes a stream has to send events. */
	get isAccepted(): boolean {
		const {attempt: {error, isSuccess, reply}} = this;
		return error === undefined && isSuccess && reply?.hasReceipt === true && (this.#lastId === undefined || reply.isEventStream);
	}

	/** Whether the stream has no events. Only a caller that asks for what follows an event may have all of them: a stream that broke off here may lack some. */
	get isEmpty(): boolean {
		const mayBeEmpty = this.#served.request.resumeAfter !== undefined && this.#options.resumeAfter === undefined;
		return !this.#hasEvent && !mayBeEmpty && this.attempt.reply?.isEventStream === true;
	}

	/** Sends the request, at the first call, and waits for the status and header of the answer. Never throws. */
	async open(): Promise<void> {
		this.#opened ??= this.attempt.send(this.#served, this.#options);
		await this.#opened;
	}

	/** Waits until the next events are complete, and leaves them to `readEvents`. Never throws; returns whether the stream goes on or has ended properly. */
	async waitForEvents(): Promise<boolean> {
		this.#pendingRead ??= this.#read();
		try {
			await this.#pendingRead;
			return true;
		} catch (error) {
			this.attempt.abort(error);
			return false;
		}
	}

	/** Reads the next complete events; `undefined` once the stream has ended. Throws `BrokenAnswerError` when it breaks off. */
	async readEvents(): Promise<CompleteEvents | undefined> {
		const pending = this.#pendingRead ?? this.#read();
		this.#pendingRead = undefined;
		return pending;
	}

	/** Ends a send that is not needed or has failed, and releases its reservation. */
	async cancel(): Promise<void> {
		const {attempt} = this;
		if (attempt.reply && attempt.error === undefined && !attempt.isNotRun && !attempt.isSuccess) {
			attempt.finish();
		}

		attempt.cancelAfterAnswer();
		attempt.abort(new BrokenAnswerError('The send was ended, as another engine serves its request.'));
		await attempt.checkEngine();
		this.close();
	}

	/** Releases the reservation; call it once the attempt has ended. */
	close(): void {
		const pace = this.#computePace();
		if (pace) {
			this.#reservation.onPace(pace);
		}

		this.#reservation.release(this.attempt.trace.sign);
	}

	/** Computes how fast the engine sent the events; `undefined` where it does not share its machine or there were too few of them. */
	#computePace(): StreamPace | undefined {
		const slowdown = this.attempt.reply?.load?.slowdown;
		const {targetGapMs} = this.#served.route;
		return slowdown === undefined || targetGapMs === undefined || this.#intervalCount < minPaceIntervals
			? undefined
			: {intervalMs: (this.#latestEventAt - this.#firstEventAt) / this.#intervalCount, slowdown, targetGapMs};
	}

	async #read(): Promise<CompleteEvents | undefined> {
		this.#chunks ??= this.attempt.generateBody();
		while (!this.#hasEnded) {
			const {value: chunk, done} = await this.#chunks.next();
			if (done) {
				this.#hasEnded = true;
				const bytes = this.#splitter.finish();
				return bytes.length > 0 ? {bytes, lastId: undefined} : undefined;
			}

			const events = this.#splitter.add(chunk);
			this.attempt.trace.incompleteBytes = this.#splitter.incompleteBytes || undefined;
			if (events) {
				this.#hasEvent ||= hasEvent(events.bytes);
				if (this.#lastId !== undefined) {
					checkContinuation(events.bytes, this.#lastId);
					this.#lastId = events.lastId ?? this.#lastId;
				}

				// The first event shows that the prefill has ended, whichever engine ran it.
				this.#reservation.onPrefillEnd(engineOutcome.answered);
				this.attempt.onProgress();
				this.#latestEventAt = this.#timers.getNow();
				this.#firstEventAt = this.#intervalCount < 0 ? this.#latestEventAt : this.#firstEventAt;
				this.#intervalCount++;
				return events;
			}
		}

		return undefined;
	}
}
