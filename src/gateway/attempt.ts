import {Buffer} from 'node:buffer';
import {engineOutcome} from '../dispatch/index.js';
import type {EngineOutcome, EngineView} from '../dispatch/index.js';
import {ForeignAnswerError, NotSentError} from '../errors/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {EngineCall, EngineReply} from './ports.js';
import {acquirePlace} from './served.js';
import type {GatewayParts, ServedRequest} from './served.js';
import type {AttemptTrace} from './trace.js';

/** What is asked of one send, beside the request itself. */
export type AttemptOptions = Partial<Pick<EngineCall, 'continueFrom' | 'fetchFrom' | 'resumeAfter'>> & {
	readonly purpose: AttemptTrace['purpose'];
	/** Time without a byte after which the send is given up, in milliseconds; `undefined`: only the deadline ends it. */
	readonly silenceMs: number | undefined;
	readonly mayReuseIdle: boolean;
};

/** Bodies up to this size are taken whole before a byte goes to the caller, so that a broken one can be sent again. */
const wholeBodyBytes = 1_048_576;

/** Gives up a send when its engine stays silent, its caller goes or its deadline passes. */
class SendWatch {
	readonly controller = new AbortController();
	isSilent = false;
	readonly #timers: TimerService;
	readonly #served: ServedRequest;
	readonly #silenceMs: number | undefined;
	readonly #onEnd: () => void;
	#timer: Timer | undefined;

	constructor(timers: TimerService, served: ServedRequest, silenceMs: number | undefined) {
		this.#timers = timers;
		this.#served = served;
		this.#silenceMs = silenceMs;
		this.#onEnd = () => {
			this.controller.abort();
		};

		// A signal that was aborted before tells nobody.
		if (served.signal.aborted) {
			this.controller.abort();
		}

		served.signal.addEventListener('abort', this.#onEnd, {once: true});
		this.reset();
	}

	reset(): void {
		this.#timer?.cancel();
		if (this.#silenceMs !== undefined) {
			this.#timer = this.#timers.startTimer(this.#silenceMs, () => {
				this.isSilent = true;
				this.controller.abort();
			});
		}
	}

	stop(): void {
		this.#timer?.cancel();
		this.#served.signal.removeEventListener('abort', this.#onEnd);
	}
}

/** One send to an engine: what came of it is noted with the engine and in the request's trace. */
export class Attempt {
	reply: EngineReply | undefined;
	readonly view: EngineView;
	readonly trace: AttemptTrace;
	/** Set when the engine can't have run the request and never will. */
	isNotRun = false;
	/** Set when no engine was reached: nothing counts against a bound on sends. */
	isNotSent = false;
	/** Set when it ended without a whole answer. */
	error: unknown;
	readonly #parts: GatewayParts;
	readonly #watch: SendWatch;
	readonly #releasePlace: () => void;
	readonly #startedAt: number;

	constructor(parts: GatewayParts, served: ServedRequest, view: EngineView, options: AttemptOptions) {
		this.#parts = parts;
		this.view = view;
		this.trace = served.trace.onSend(view, options.purpose);
		this.#releasePlace = acquirePlace(view);
		this.#startedAt = parts.timers.getNow();
		this.#watch = new SendWatch(parts.timers, served, options.silenceMs);
	}

	/** Whether the engine answered with a success of its own. */
	get isSuccess(): boolean {
		return this.reply !== undefined && this.reply.status >= 200 && this.reply.status < 300;
	}

	/** Sends the request and waits for the beginning of the answer. Never throws; see `reply` and `error`. */
	async send(served: ServedRequest, options: AttemptOptions): Promise<void> {
		try {
			const reply = await this.#parts.link.send({
				target: this.view.record,
				request: served.request,
				remainingMs: Math.max(1, Math.floor(served.deadlineAt - this.#startedAt)),
				isPrefill: options.purpose === 'prefill',
				continueFrom: options.continueFrom,
				fetchFrom: options.fetchFrom,
				resumeAfter: options.resumeAfter,
				mayReuseIdle: options.mayReuseIdle,
				signal: this.#watch.controller.signal,
			});
			this.#onReply(reply);
		} catch (error) {
			this.isNotSent = error instanceof NotSentError;
			this.isNotRun = this.isNotSent;
			this.#onFailure(error);
		}
	}

	/** Reads the whole body; `undefined` when it broke off or is too long to hold. */
	async readBody(): Promise<Uint8Array | undefined> {
		const pieces: Uint8Array[] = [];
		let size = 0;
		try {
			for await (const piece of this.generateBody()) {
				size += piece.length;
				pieces.push(piece);
				if (size > wholeBodyBytes) {
					throw new RangeError(`The answer is longer than ${wholeBodyBytes} bytes.`);
				}
			}

			return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
		} catch (error) {
			this.#onFailure(error);
			return undefined;
		}
	}

	/** Reads pieces of the body as they come; throws when it breaks off, stays silent or is given up. */
	async * generateBody(): AsyncGenerator<Uint8Array, void> {
		if (!this.reply) {
			return;
		}

		for await (const piece of this.reply.generateBody()) {
			this.#watch.reset();
			yield piece;
		}
	}

	/** Notes that the answer came whole. */
	finish(): void {
		const tookMs = this.#parts.timers.getNow() - this.#startedAt;
		this.view.onDuration(tookMs);
		this.#settle(this.isSuccess ? engineOutcome.answered : engineOutcome.failed, undefined);
	}

	/** Notes that the answer broke off, and closes its connection. */
	abort(error: unknown): void {
		this.reply?.abort();
		this.#onFailure(error);
	}

	#onReply(reply: EngineReply): void {
		this.reply = reply;
		this.#watch.reset();
		if (reply.load) {
			this.view.onLoad(reply.load, this.#parts.timers.getNow());
		}

		if (reply.isOtherEngine || reply.isNotRun) {
			this.isNotRun = true;
			reply.abort();
			this.#settle(reply.isOtherEngine ? engineOutcome.otherEngine : engineOutcome.refused, `status ${reply.status}`);
		}
	}

	#onFailure(error: unknown): void {
		this.error = error;
		const detail = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
		if (this.#watch.isSilent) {
			this.#settle(engineOutcome.silent, 'no byte in time');
		} else if (this.#watch.controller.signal.aborted) {
			// The caller has gone or its time is over: that tells nothing of the engine.
			this.#settle(undefined, 'given up');
		} else if (error instanceof NotSentError) {
			this.#settle(engineOutcome.unreachable, detail);
		} else {
			this.#settle(engineOutcome.broken, error instanceof ForeignAnswerError ? 'answer of another request' : detail);
		}
	}

	#settle(sign: EngineOutcome | undefined, detail: string | undefined): void {
		if (this.trace.tookMs !== undefined) {
			return;
		}

		const now = this.#parts.timers.getNow();
		this.trace.tookMs = now - this.#startedAt;
		this.trace.sign = sign;
		this.trace.detail = detail;
		this.#watch.stop();
		this.#releasePlace();
		if (sign) {
			this.view.health.onOutcome(sign, now);
		} else {
			this.view.health.onInconclusive();
		}
	}
}

/** Sends a request once; the result says what came of it. */
export async function callEngine(parts: GatewayParts, served: ServedRequest, view: EngineView, options: AttemptOptions): Promise<Attempt> {
	const attempt = new Attempt(parts, served, view, options);
	await attempt.send(served, options);
	return attempt;
}
