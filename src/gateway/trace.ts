import type {EngineOutcome, EngineView} from '../dispatch/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import type {AnswerFraming} from './ports.js';
import type {GatewayRequest, Route} from './types.js';

/** How a request ended from the caller's point of view. */
export const requestOutcome = {
	answered: 'answered',
	refused: 'refused',
	failed: 'failed',
	broken: 'broken',
	callerGone: 'caller_gone',
} as const;

/** See {@link requestOutcome}. */
export type RequestOutcome = (typeof requestOutcome)[keyof typeof requestOutcome];

/** One send to an engine and its result, as the log line of the request has them. */
export type AttemptTrace = {
	readonly engine: string;
	/** What the engine was asked for: the whole request, also as an extra send beside another engine (`extra`), only the prefill, or the rest of a stream. */
	readonly purpose: 'run' | 'extra' | 'prefill' | 'resume';
	/** Time from the request's arrival to the send, in milliseconds. */
	readonly atMs: number;
	/** Load of the engine as this process knew it at the send, in requests. */
	readonly load: number;
	/** Age of the load report, in milliseconds. */
	readonly loadAgeMs: number;
	/** Time for which the engine's registration had been missing, in milliseconds; absent for a registered engine. */
	readonly missingMs?: number;
	/** How the send ended; absent while it is in progress, and when the caller or the deadline ended it, which says nothing about the engine. */
	sign?: EngineOutcome;
	detail?: string;
	/** Number of times that the engine was silent for too long while its answer was awaited; absent when it never was. */
	silences?: number;
	/** Whether the engine still accepted connections after its answer broke off; absent when it did not break off, and when that could not be told. */
	isEngineListening?: boolean;
	/** Status of an answer other than 2xx; absent without one. */
	status?: number;
	/** Whether that answer states that the engine did not run the request; absent without one. */
	isNotRunStated?: boolean;
	/** How the end of the answer's body is marked; absent without an answer. */
	framing?: AnswerFraming;
	/** Bytes of the answer's body that arrived; absent where the body was not read. */
	bodyBytes?: number;
	/** Bytes that a stream sent after its last complete event; absent unless there were any when it ended. */
	incompleteBytes?: number;
	/** Requests a second that the answer says the engine takes from all entries together; absent when it names no limit. */
	limitPerSecond?: number | undefined;
	/** Time from the send to its end, in milliseconds; absent until then. */
	tookMs?: number;
};

/** How the work of two engines on one request ended. */
export type TakeoverEnd = {readonly overlapMs: number; readonly isTakenOver: boolean};

/** How an extra send ended: whether it answered first, and how long the losing engine worked, in milliseconds. */
export type ExtraSendEnd = {readonly isWon: boolean; readonly extraMs: number};

/** Receives ended requests and retries, for logs and metrics. */
export abstract class RequestReporter {
	abstract onEnd(trace: RequestTrace): void;
	abstract onRetry(reason: string): void;

	/** Reports that a request was refused before its body was read, as its API key is unknown or may be revoked. */
	abstract onAccessRefused(reason: RefusalReason, requestId: string | undefined): void;

	/** Called when an answer was the first to say that its engine leaves. */
	abstract onLeaving(view: EngineView, requestId: string): void;

	/** Called when an engine becomes suspect as it sends nothing; `requestId` is the latest of the requests that wait there. */
	abstract onSilence(view: EngineView, requestId: string): void;

	/** Called when a suspect engine sends again for a request after a silence. */
	abstract onResume(view: EngineView, requestId: string): void;

	/** Called when a request is sent to a further engine while its first one, `view`, is silent. */
	abstract onTakeover(view: EngineView, further: EngineView, requestId: string): void;

	/** Called when a request that is slow at `view`, where it was sent `elapsedMs` before, is also sent to a further engine. */
	abstract onExtraSend(view: EngineView, further: EngineView, requestId: string, elapsedMs: number): void;

	/** Called when an extra send has ended, or the send beside which it was made. */
	abstract onExtraSendEnd(further: EngineView, requestId: string, end: ExtraSendEnd): void;

	/** Called when two engines no longer work on one request, `view` and `further`, which they did for `overlapMs`; `isTakenOver` tells whether the further one serves it. */
	abstract onTakeoverEnd(view: EngineView, further: EngineView, requestId: string, end: TakeoverEnd): void;

	/** Called when an engine answers with a status that promises that the request has not run, and does not state it. */
	abstract onUnprovenRefusal(view: EngineView, requestId: string, status: number): void;

	/** Called when the search for a further engine failed otherwise than for want of one; the answer is awaited from the silent engine. */
	abstract onSearchFailed(view: EngineView, requestId: string, error: Error): void;

	/** Called when work beside a request, which it does not wait for, failed. */
	abstract onTaskFailed(task: string, requestId: string, error: unknown): void;

	/** Called when a refusal asks for no request of this process for `durationMs`, and the engine held nothing back before. */
	abstract onPause(view: EngineView, requestId: string, durationMs: number): void;
}

/** Record of one request: its route, its attempts, its times since arrival, and how it ended. */
export class RequestTrace {
	configurationVersion: number | undefined;
	/** Number of times that an engine's limit allowed no request. */
	refusedPermits = 0;
	route: Route | undefined;
	service: string | undefined;
	waitedMs: number | undefined;
	expectedMs: number | undefined;
	/** Time that the route's answers take from a reservation to their first byte, as estimated when the latest reservation was asked for, in milliseconds. */
	estimatedMs: number | undefined;
	firstByteMs: number | undefined;
	/** Whether an engine has begun to answer. */
	hasBegun = false;
	outcome: RequestOutcome | undefined;
	reason: string | undefined;
	status: number | undefined;
	totalMs = 0;
	readonly attempts: AttemptTrace[] = [];
	readonly #timers: TimerService;

	constructor(readonly request: GatewayRequest, timers: TimerService) {
		this.#timers = timers;
	}

	/** Records the configuration, route and service that apply. */
	onRoute(version: number, route: Route | undefined, service: string | undefined): void {
		this.configurationVersion = version;
		this.route = route;
		this.service = service;
	}

	/** Records that the request has an engine and no longer waits, and the expected time from then to its first token, in milliseconds. */
	onAdmitted(expectedMs?: number): void {
		this.waitedMs = this.#measureElapsedMs();
		this.expectedMs = expectedMs;
	}

	/** Records a send and returns its trace, which is completed when the send ends. */
	onSend(view: EngineView, purpose: AttemptTrace['purpose']): AttemptTrace {
		const now = this.#timers.getNow();
		const attempt: AttemptTrace = {
			engine: view.record.id, purpose, atMs: this.#measureElapsedMs(), load: view.computeLoad(now), loadAgeMs: view.computeLoadAgeMs(now),
			...(view.missingSince === undefined ? {} : {missingMs: Math.round(now - view.missingSince)}),
		};
		this.attempts.push(attempt);
		return attempt;
	}

	/** Records the first byte of the answer to the caller. */
	onFirstByte(): void {
		this.firstByteMs ??= this.#measureElapsedMs();
	}

	/** Records how the request ended. */
	finish(outcome: RequestOutcome, reason: string | undefined, status?: number): void {
		this.outcome = outcome;
		this.reason = reason;
		this.status = status;
		this.totalMs = this.#measureElapsedMs();
	}

	/** Records that an error that was not handled ended the request. */
	onError(error: unknown): void {
		this.finish('failed', error instanceof Error ? `${error.name}: ${error.message}` : String(error));
	}

	#measureElapsedMs(): number {
		return this.#timers.getNow() - this.request.arrivedAt;
	}
}
