import {CallerGoneError, NotRunError, refusalReason} from '../errors/index.js';
import type {Placement, PlacementOutcome, RoutingRequest} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient, GenerateEvent, GenerateRequest} from '../upstreams/index.js';
import {AnswerCheck} from './check.js';
import {EventReader} from './reader.js';
import type {EngineConnection, StreamDependencies, StreamJob} from './job.js';

/** Time that an engine has to answer a probe of its state, in milliseconds. */
const probeTimeoutMs = 1000;

/** One attempt to serve a request at one engine. Once it has been sent, its end is reported to the router exactly once. */
export class Attempt {
	readonly placement: Placement;
	readonly #job: StreamJob;
	readonly #dependencies: StreamDependencies;
	readonly #controller = new AbortController();
	readonly #connection: EngineConnection;
	readonly #isResume: boolean;
	#reader: EventReader | undefined;
	#check: AnswerCheck | undefined;
	#isFinished = false;

	constructor(job: StreamJob, placement: Placement, dependencies: StreamDependencies, isResume: boolean) {
		this.#job = job;
		this.placement = placement;
		this.#dependencies = dependencies;
		this.#isResume = isResume;
		this.#connection = dependencies.getConnection(placement, isResume);
	}

	/** Client of the attempt's connection. */
	get client(): EngineClient {
		return this.#connection.client;
	}

	/** Whether {@link takeEvents} has events or an error. */
	get hasNews(): boolean {
		return this.#reader?.hasNews ?? false;
	}

	/** Whether {@link takeEvents} has events. */
	get hasEvents(): boolean {
		return this.#reader?.hasEvents ?? false;
	}

	/** Whether the engine was silent for too long and has sent nothing since. */
	get isSilent(): boolean {
		return this.#reader?.isSilent ?? false;
	}

	/** Whether the request was handed to the connection. */
	get isSent(): boolean {
		return this.#reader !== undefined;
	}

	/**
	Checks once more that the engine is open and hands the request to the connection, in one turn of the event loop:
	whoever closes the engine sees either no send or a request that is counted as running.
	`onNews` is called when there is something to take. Throws `NotRunError` when the engine has closed meanwhile, `CallerGoneError` when the
	caller has disconnected.
	*/
	start(offset: number, kvHandle: string | undefined, onNews: () => void): void {
		const {router, timers, signal} = this.#dependencies;
		const {request} = this.#job;
		if (signal.aborted) {
			throw new CallerGoneError('the caller has gone');
		}

		if (!router.isAvailable(this.placement.upstream.id)) {
			throw new NotRunError(`${this.placement.upstream.id} closed before the send`, {props: {reason: refusalReason.draining}});
		}

		const events = this.client.generate(this.#createRequest(offset, kvHandle), this.#controller.signal);
		this.#check = this.#dependencies.createCheck?.(request.id, offset) ?? new AnswerCheck(request.id, offset, () => {
			this.#dependencies.metrics.count('dropped', 'late_event');
		});
		this.#reader = new EventReader(events[Symbol.asyncIterator](), {
			timers, signal, deadlineAt: request.deadlineAt, timeouts: this.#dependencies.getTimeouts(this.placement, this.#isResume), onNews,
		});
		router.onSent(request, this.placement);
		this.#reader.start();
	}

	/** Notes that the next events are waited for, so that the engine can be silent for too long. */
	startWaiting(): void {
		this.#reader?.startWaiting();
	}

	/**
	Returns the received events that come next in this request's answer, from `offset` on; none when all were repeated. Throws the error that ended the
	answer, and `SilentAnswerError` once for each silence; after a silence the answer may go on.
	*/
	takeEvents(offset: number): readonly GenerateEvent[] {
		const events = this.#reader?.takeBatch() ?? [];
		// An attempt that was sent earlier or later to the same engine may have delivered events of this one already.
		const newEvents = this.#check?.selectNext(events, offset) ?? [];
		const tokenCount = newEvents.at(-1)?.kind === 'end' ? newEvents.length - 1 : newEvents.length;
		if (tokenCount > 0) {
			this.#dependencies.router.onTokens(this.#job.request, this.placement, tokenCount);
		}

		return newEvents;
	}

	/** Ends the attempt: closes its connection and reports the outcome to the router. Does nothing when called again. */
	finish(outcome: PlacementOutcome): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#reader?.close();
		this.#controller.abort();
		this.#connection.close();
		if (this.isSent) {
			this.#dependencies.router.onEnd(this.#job.request, this.placement, outcome);
		}
	}

	/** Whether the engine answers a probe on a separate connection; false when `endSignal` is aborted first. An engine behind a relay is assumed to answer. */
	async isAnswering(endSignal: AbortSignal): Promise<boolean> {
		if (this.placement.relayAddress !== undefined) {
			return true;
		}

		const {timers, signal} = this.#dependencies;
		const {client, close} = this.#dependencies.getConnection(this.placement, true);
		const controller = new AbortController();
		try {
			return await Promise.race([probeEngine(client), waitForTimeout(timers, AbortSignal.any([controller.signal, signal, endSignal]))]);
		} finally {
			controller.abort();
			close();
		}
	}

	/** Asks the engine to drop the request. Never throws; procedures don't wait for it. */
	async cancel(): Promise<void> {
		const {client, close} = this.#dependencies.getConnection(this.placement, false);
		try {
			await client.cancel(this.#job.request.id);
		} catch {
			// The engine is unreachable; it ends the request when it sees that the connection is closed.
			this.#dependencies.metrics.count('dropped', 'cancel_failed');
		} finally {
			close();
		}
	}

	#createRequest(offset: number, kvHandle: string | undefined): GenerateRequest {
		const {request, prompt} = this.#job;
		return {
			id: request.id,
			model: request.model,
			version: request.version,
			adapter: request.adapter,
			prompt,
			promptTokens: request.promptTokens,
			maxTokens: request.maxTokens,
			offset,
			priority: request.priority,
			kv: kvHandle,
		};
	}
}

async function probeEngine(client: EngineClient): Promise<boolean> {
	try {
		await client.readState();
		return true;
	} catch {
		return false;
	}
}

async function waitForTimeout(timers: TimerService, signal: AbortSignal): Promise<false> {
	if (signal.aborted) {
		return false;
	}

	await new Promise<void>(resolve => {
		const timer = timers.startTimeout(probeTimeoutMs, onEnd);
		function onEnd() {
			timer.cancel();
			resolve();
		}

		signal.addEventListener('abort', onEnd, {once: true});
	});
	return false;
}
