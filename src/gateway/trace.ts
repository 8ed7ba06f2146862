import type {EngineOutcome, EngineView} from '../dispatch/index.js';
import type {TimerService} from '../timers/index.js';
import type {GatewayRequest, Route} from './types.js';

/** How a request ended, for its caller. */
export const requestOutcome = {
	answered: 'answered',
	refused: 'refused',
	failed: 'failed',
	broken: 'broken',
	callerGone: 'caller_gone',
} as const;

/** See {@link requestOutcome}. */
export type RequestOutcome = (typeof requestOutcome)[keyof typeof requestOutcome];

/** One send to an engine and what came of it. */
export type AttemptTrace = {
	readonly engine: string;
	/** What the engine was asked for: the whole request, only the prompt, or the rest of a stream. */
	readonly purpose: 'run' | 'prefill' | 'resume';
	/** From the request's arrival, in milliseconds. */
	readonly atMs: number;
	/** Load that the choice was made by, and its age in milliseconds. */
	readonly load: number;
	readonly loadAgeMs: number;
	sign?: EngineOutcome;
	detail?: string;
	tookMs?: number;
};

/** Takes in ended requests, for logs and metrics. */
export abstract class RequestReport {
	abstract onEnd(trace: RequestTrace): void;
	abstract onRetry(reason: string): void;
}

/** What happened to one request, with what each decision was made by. */
export class RequestTrace {
	version: number | undefined;
	route: Route | undefined;
	service: string | undefined;
	waitedMs: number | undefined;
	firstByteMs: number | undefined;
	outcome: RequestOutcome | undefined;
	reason: string | undefined;
	status: number | undefined;
	totalMs = 0;
	readonly attempts: AttemptTrace[] = [];
	readonly #timers: TimerService;

	constructor(readonly request: GatewayRequest, timers: TimerService) {
		this.#timers = timers;
	}

	/** Notes the configuration, route and service that were chosen. */
	onRoute(version: number, route: Route | undefined, service: string | undefined): void {
		this.version = version;
		this.route = route;
		this.service = service;
	}

	/** Notes that a place was found. */
	onPlace(): void {
		this.waitedMs = this.#measure();
	}

	/** Notes a send; the result is completed when it ends. */
	onSend(view: EngineView, purpose: AttemptTrace['purpose']): AttemptTrace {
		const now = this.#timers.getNow();
		const attempt: AttemptTrace = {
			engine: view.record.id, purpose, atMs: this.#measure(), load: view.computeLoad(now), loadAgeMs: view.computeLoadAgeMs(now),
		};
		this.attempts.push(attempt);
		return attempt;
	}

	/** Notes the first byte of an answer to the caller. */
	onFirstByte(): void {
		this.firstByteMs ??= this.#measure();
	}

	/** Notes how the request ended. */
	finish(outcome: RequestOutcome, reason: string | undefined, status?: number): void {
		this.outcome = outcome;
		this.reason = reason;
		this.status = status;
		this.totalMs = this.#measure();
	}

	/** Notes an error that nothing handled. */
	onError(error: unknown): void {
		this.finish('failed', error instanceof Error ? `${error.name}: ${error.message}` : String(error));
	}

	#measure(): number {
		return this.#timers.getNow() - this.request.arrivedAt;
	}
}
