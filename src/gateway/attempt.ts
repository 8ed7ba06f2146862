import {Buffer} from 'node:buffer';
import {engineOutcome} from '../dispatch/index.js';
import type {EngineOutcome, EngineView} from '../dispatch/index.js';
import {ForeignAnswerError, NotSentError} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {isNotRunStatus} from './ports.js';
import type {EngineCall, EngineReply} from './ports.js';
import {findAccessRefusal, trackSend} from './served.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import type {AttemptTrace} from './trace.js';

/** Options of one send of a request to an engine. */
export type AttemptOptions = Partial<Pick<EngineCall, 'continueFrom' | 'fetchFrom' | 'resumeAfter'>> & {
	readonly purpose: AttemptTrace['purpose'];
	/** Time without progress after which the engine counts as silent, in milliseconds; `undefined` where it never does. Its answer is awaited all the same. */
	readonly silenceTimeoutMs: number | undefined;
	/** Called at the end of each such time while the engine is silent. */
	readonly onSilence?: () => void;
	/** Called when a silence begins, and when the engine goes on after it. */
	readonly onSilenceChange?: (isSilent: boolean) => void;
	readonly mayReuseIdle: boolean;
};

/** Largest body that is buffered. A buffered body reaches the caller only when complete, so that the request can be sent again if it breaks off. */
const maxBufferedBodyBytes = 1_048_576;
/** Time in which an answer that has left its engine arrives, in milliseconds. */
const answerTransitMs = 50;
/** Bytes of a buffered body that count as progress. */
const minProgressBytes = 256;

/** Aborts a send when its caller disconnects or its deadline passes, and notices when its engine is silent. */
class SendWatchdog {
	readonly controller = new AbortController();
	/** Whether the engine has made no progress for the silence timeout or longer. */
	isSilent = false;
	readonly #timers: TimerService;
	readonly #signal: AbortSignal;
	readonly #silenceTimeoutMs: number | undefined;
	/** Called at the end of each silence timeout, with whether it is the first of a silence. */
	readonly #onSilence: (isFirst: boolean) => void;
	readonly #onAbort: () => void;
	#timer: Timer | undefined;
	#isStopped = false;

	constructor(timers: TimerService, signal: AbortSignal, silenceTimeoutMs: number | undefined, onSilence: (isFirst: boolean) => void) {
		this.#timers = timers;
		this.#signal = signal;
		this.#silenceTimeoutMs = silenceTimeoutMs;
		this.#onSilence = onSilence;
		this.#onAbort = () => {
			this.controller.abort();
		};

		// A signal that is already aborted emits no event.
		if (signal.aborted) {
			this.controller.abort();
		}

		signal.addEventListener('abort', this.#onAbort, {once: true});
		this.reset();
	}

	/** Records progress. Returns whether it ended a silence. */
	reset(): boolean {
		const wasSilent = this.isSilent;
		this.isSilent = false;
		this.stopTimer();
		this.#startTimer();
		return wasSilent;
	}

	/** Stops measuring until the next progress. */
	stopTimer(): void {
		this.#timer?.cancel();
	}

	stop(): void {
		this.#isStopped = true;
		this.stopTimer();
		this.#signal.removeEventListener('abort', this.#onAbort);
	}

	#startTimer(): void {
		if (this.#silenceTimeoutMs === undefined || this.#isStopped) {
			return;
		}

		this.#timer = this.#timers.startTimeout(this.#silenceTimeoutMs, () => {
			const isFirst = !this.isSilent;
			this.isSilent = true;
			this.#startTimer();
			this.#onSilence(isFirst);
		});
	}
}

/** One send to an engine; its result is recorded in the engine's view and in the request's trace. */
export class Attempt {
	reply: EngineReply | undefined;
	readonly view: EngineView;
	readonly trace: AttemptTrace;
	/** Monotonic time of the send, in milliseconds. */
	readonly startedAt: number;
	/** Set when the engine has not run the request and never will. */
	isNotRun = false;
	/** Set when no engine was reached: the send is not charged to the retry budget. */
	isNotSent = false;
	/** Set when the send ended without a complete answer. */
	error: unknown;
	readonly #dependencies: GatewayDependencies;
	readonly #watchdog: SendWatchdog;
	readonly #stopTracking: () => void;
	readonly #requestId: string;
	readonly #options: Pick<AttemptOptions, 'onSilence' | 'onSilenceChange'>;
	#isCancelled = false;

	constructor(dependencies: GatewayDependencies, served: ServedRequest, view: EngineView, options: AttemptOptions) {
		this.#dependencies = dependencies;
		this.view = view;
		this.#requestId = served.request.id;
		this.trace = served.trace.onSend(view, options.purpose);
		this.#stopTracking = trackSend(view);
		this.startedAt = dependencies.timers.getNow();
		this.#options = options;
		this.#watchdog = new SendWatchdog(dependencies.timers, served.signal, options.silenceTimeoutMs, isFirst => {
			this.#recordSilence(isFirst);
		});
	}

	/** Whether the engine has made no progress for the silence timeout or longer. */
	get isSilent(): boolean {
		return this.#watchdog.isSilent;
	}

	/** Whether the engine answered with a 2xx status. */
	get isSuccess(): boolean {
		return this.reply !== undefined && this.reply.status >= 200 && this.reply.status < 300;
	}

	/** Whether the answer's status promises that the request has not run, which the engine does not state: the caller, who would send the request again, must not get it. */
	get isUnprovenRefusal(): boolean {
		return this.reply !== undefined && !this.isNotRun && isNotRunStatus(this.reply.status);
	}

	/** Sends the request and waits for the status and header of the answer. Never throws; sets `reply` or `error`. */
	async send(served: ServedRequest, options: AttemptOptions): Promise<void> {
		if (this.#tryEndRefused(served)) {
			return;
		}

		try {
			const reply = await this.#dependencies.link.send({
				target: this.view.record,
				request: served.request,
				remainingMs: Math.max(1, Math.floor(served.deadlineAt - this.startedAt)),
				isPrefill: options.purpose === 'prefill',
				continueFrom: options.continueFrom,
				fetchFrom: options.fetchFrom,
				resumeAfter: options.resumeAfter,
				mayReuseIdle: options.mayReuseIdle,
				signal: this.#watchdog.controller.signal,
				// The request may have come before the configuration listed customers.
				dropsIdentity: this.#dependencies.access?.customers !== undefined,
				isPermitted: () => findAccessRefusal(this.#dependencies, served) === undefined,
			});
			this.#onReply(reply);
		} catch (error) {
			if (error instanceof NotSentError && this.#tryEndRefused(served)) {
				this.error = error;
				return;
			}

			this.isNotSent = error instanceof NotSentError;
			this.isNotRun = this.isNotSent;
			this.#onFailure(error);
		}
	}

	/** Reads the whole body; returns `undefined` when it broke off or is too large to buffer. */
	async readBody(): Promise<Uint8Array | undefined> {
		const chunks: Uint8Array[] = [];
		let sizeBytes = 0;
		let progressBytes = 0;
		try {
			for await (const chunk of this.generateBody()) {
				sizeBytes += chunk.length;
				chunks.push(chunk);
				if (sizeBytes - progressBytes >= minProgressBytes) {
					progressBytes = sizeBytes;
					this.onProgress();
				}

				if (sizeBytes > maxBufferedBodyBytes) {
					throw new RangeError(`The answer exceeds the limit of ${maxBufferedBodyBytes} bytes.`);
				}
			}

			return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
		} catch (error) {
			this.#onFailure(error);
			return undefined;
		}
	}

	/** Records that the answer has made progress, so that the engine does not count as silent. A few bytes are none: a stalled engine may send them. */
	onProgress(): void {
		if (this.#watchdog.reset()) {
			this.#recordResume();
		}
	}

	/** Stops measuring the engine's silence until its next progress: the caller is slow to take what it has sent. */
	stopSilenceTimer(): void {
		this.#watchdog.stopTimer();
	}

	/** Yields chunks of the body as they arrive; throws when it breaks off, stays silent or is aborted. */
	async * generateBody(): AsyncGenerator<Uint8Array, void> {
		if (!this.reply) {
			return;
		}

		for await (const chunk of this.reply.generateBody()) {
			this.trace.bodyBytes = (this.trace.bodyBytes ?? 0) + chunk.length;
			yield chunk;
		}
	}

	/** Records that the answer is complete. */
	finish(): void {
		const tookMs = this.#dependencies.timers.getNow() - this.startedAt;
		this.view.onDuration(tookMs, this.reply?.load);
		this.#settle(this.isSuccess ? engineOutcome.answered : engineOutcome.failed, undefined);
	}

	/** Closes the connection, as another engine has taken the request over or the answer is no longer wanted. */
	cancel(): void {
		this.#isCancelled = true;
		this.#watchdog.controller.abort();
	}

	/** Does what `cancel` does, but first waits a little for an answer that may have left its engine: it tells what the engine wishes of further requests. */
	cancelAfterAnswer(): void {
		if (this.reply) {
			this.cancel();
			return;
		}

		this.#isCancelled = true;
		this.#dependencies.timers.startTimeout(answerTransitMs, () => {
			this.cancel();
		});
	}

	/** Closes the answer's connection and records the error. */
	abort(error: unknown): void {
		this.reply?.abort();
		this.#onFailure(error);
	}

	/** After an answer that broke off, finds out whether the engine's process is still there; if not, the engine has crashed. Never throws. */
	async checkEngine(): Promise<void> {
		if (this.trace.sign !== engineOutcome.broken) {
			return;
		}

		this.trace.isEngineListening = await this.#dependencies.link.isListening(this.view.record);
		if (this.trace.isEngineListening === false) {
			this.trace.sign = this.trace.bodyBytes === undefined ? engineOutcome.crashed : engineOutcome.crashedInAnswer;
		}
	}

	/** Ends the send if the request must not be sent now, as its API key is or may be revoked; returns whether it did. The request is refused before another engine is sought. */
	#tryEndRefused(served: ServedRequest): boolean {
		const refusal = findAccessRefusal(this.#dependencies, served);
		if (refusal === undefined) {
			return false;
		}

		// Says nothing about the engine.
		this.isNotSent = true;
		this.isNotRun = true;
		this.#settle(undefined, refusal);
		return true;
	}

	#onReply(reply: EngineReply): void {
		this.reply = reply;
		this.#recordWishes(reply);
		if (this.#isCancelled) {
			this.cancel();
		}

		this.trace.framing = reply.framing;
		if (!this.isSuccess) {
			this.trace.status = reply.status;
			this.trace.isNotRunStated = reply.isNotRun || reply.isOtherEngine;
		}

		this.onProgress();
		if (reply.load) {
			this.view.onLoad(reply.load, this.#dependencies.timers.getNow());
		}

		if (reply.load?.slowdown !== undefined) {
			this.#dependencies.onLoadReport?.(this.view, reply.load);
		}

		if (reply.isOtherEngine || reply.isNotRun) {
			this.isNotRun = true;
			reply.abort();
			this.#settle(reply.isOtherEngine ? engineOutcome.otherEngine : engineOutcome.refused, `status ${reply.status}`);
		} else if (this.isUnprovenRefusal) {
			this.#dependencies.reporter.onUnprovenRefusal(this.view, this.#requestId, reply.status);
		}
	}

	/** Records what the engine says of further requests. Another process at its address says nothing about it. */
	#recordWishes({isLeaving, isOtherEngine, retryAfterMs, requestLimit}: EngineReply): void {
		const {timers, reporter, limits} = this.#dependencies;
		const now = timers.getNow();
		if (isOtherEngine) {
			return;
		}

		if (isLeaving && !this.view.isLeaving) {
			reporter.onLeaving(this.view, this.#requestId);
		}

		if (isLeaving) {
			this.view.onLeaving();
		}

		if (requestLimit !== undefined) {
			this.trace.limitPerSecond = Number.isFinite(requestLimit) ? requestLimit : undefined;
			limits.onAnswer(this.view.record, requestLimit, this.startedAt, now);
		}

		if (retryAfterMs !== undefined) {
			const isPaused = this.view.computePauseMs(now) > 0;
			this.view.onRetryAfter(retryAfterMs, now);
			if (!isPaused) {
				reporter.onPause(this.view, this.#requestId, retryAfterMs);
			}
		}
	}

	#recordSilence(isFirst: boolean): void {
		if (isFirst) {
			const {health} = this.view;
			const wasSuspect = health.isSuspect;
			this.trace.silences = (this.trace.silences ?? 0) + 1;
			health.onOutcome(engineOutcome.silent, this.#dependencies.timers.getNow());
			if (health.isSuspect && !wasSuspect) {
				this.#dependencies.reporter.onSilence(this.view, this.#requestId);
			}

			this.#options.onSilenceChange?.(true);
		}

		this.#options.onSilence?.();
	}

	#recordResume(): void {
		const {health} = this.view;
		health.onResume(this.#dependencies.timers.getNow());
		if (health.isSuspect) {
			this.#dependencies.reporter.onResume(this.view, this.#requestId);
		}

		this.#options.onSilenceChange?.(false);
	}

	#onFailure(error: unknown): void {
		this.error = error;
		const detail = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
		if (this.#isCancelled) {
			this.#settle(this.isSilent ? engineOutcome.silent : undefined, this.isSilent ? 'silent, taken over by another engine' : 'another engine answers');
		} else if (this.#watchdog.controller.signal.aborted) {
			// The caller has disconnected or its deadline has passed, which says nothing about the engine.
			this.#settle(undefined, 'given up');
		} else if (error instanceof NotSentError) {
			this.#settle(engineOutcome.unreachable, detail);
		} else {
			this.#settle(engineOutcome.broken, error instanceof ForeignAnswerError ? 'answer of another request' : detail);
		}
	}

	#settle(outcome: EngineOutcome | undefined, detail: string | undefined): void {
		if (this.trace.tookMs !== undefined) {
			return;
		}

		const now = this.#dependencies.timers.getNow();
		this.trace.tookMs = now - this.startedAt;
		this.trace.sign = outcome;
		this.trace.detail = detail;
		this.#watchdog.stop();
		this.#stopTracking();
		// A silence was recorded when it began.
		if (outcome && outcome !== engineOutcome.silent) {
			this.view.health.onOutcome(outcome, now);
		} else {
			this.view.health.onInconclusive();
		}
	}
}
