import {CallerGoneError, NotRunError, refusalReason} from '../errors/index.js';
import type {Placement, PlacementOutcome, RoutingRequest} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient, GenerateEvent, GenerateRequest} from '../upstreams/index.js';
import {AnswerCheck} from './check.js';
import {EventReader} from './reader.js';
import type {EngineConnection, StreamJob, StreamParts} from './job.js';

/** Longest wait for an engine to say its state, in milliseconds. */
const probeMs = 1000;

/** One attempt of a request at one engine: from the send to its end, which is told to the router exactly once. */
export class Attempt {
	readonly placement: Placement;
	readonly #job: StreamJob;
	readonly #parts: StreamParts;
	readonly #abort = new AbortController();
	readonly #connection: EngineConnection;
	readonly #isFresh: boolean;
	#reader: EventReader | undefined;
	#check: AnswerCheck | undefined;
	#isEnded = false;

	constructor(job: StreamJob, placement: Placement, parts: StreamParts, isFresh: boolean) {
		this.#job = job;
		this.placement = placement;
		this.#parts = parts;
		this.#isFresh = isFresh;
		this.#connection = parts.getEngine(placement, isFresh);
	}

	/** The connection's client. */
	get client(): EngineClient {
		return this.#connection.client;
	}

	/** Whether the request was handed to the connection. */
	get isSent(): boolean {
		return this.#reader !== undefined;
	}

	/**
	Asks once more whether the engine is open and hands the request to the connection, in one turn of the loop:
	whoever closes the engine sees either no send or a request that is counted as running.
	Throws `NotRunError` when the engine has closed meanwhile.
	*/
	start(offset: number, kv: string | undefined): void {
		const {router, timers, signal} = this.#parts;
		const {work} = this.#job;
		if (signal.aborted) {
			throw new CallerGoneError('the caller has gone');
		}

		if (!router.isAvailable(this.placement.upstream.id)) {
			throw new NotRunError(`${this.placement.upstream.id} closed before the send`, {props: {reason: refusalReason.draining}});
		}

		const events = this.client.generate(this.#createRequest(offset, kv), this.#abort.signal);
		this.#check = this.#parts.createCheck?.(work.id, offset) ?? new AnswerCheck(work.id, offset, () => {
			this.#parts.metrics.count('dropped', 'late_event');
		});
		this.#reader = new EventReader(events[Symbol.asyncIterator](), {
			timers, signal, due: work.due, limits: this.#parts.getLimits(this.placement, this.#isFresh),
		});
		router.onSent(work, this.placement);
		this.#reader.start();
	}

	/** Waits for events and returns those that are the caller's own and next; none when all were repeated. */
	async readEvents(): Promise<readonly GenerateEvent[]> {
		const events = await this.#reader?.readBatch() ?? [];
		const own = this.#check?.selectOwn(events) ?? [];
		const tokens = own.at(-1)?.kind === 'end' ? own.length - 1 : own.length;
		if (tokens > 0) {
			this.#parts.router.onTokens(this.#job.work, this.placement, tokens);
		}

		return own;
	}

	/** Ends the attempt, closes its connection and tells the router, once. */
	finish(outcome: PlacementOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#reader?.close();
		this.#abort.abort();
		this.#connection.close();
		if (this.isSent) {
			this.#parts.router.onEnd(this.#job.work, this.placement, outcome);
		}
	}

	/** Asks whether the engine answers over a connection of its own; one behind a relay is taken for alive. */
	async isAnswering(): Promise<boolean> {
		if (this.placement.relayAddress !== undefined) {
			return true;
		}

		const {timers, signal} = this.#parts;
		const {client, close} = this.#parts.getEngine(this.placement, true);
		const limit = new AbortController();
		try {
			return await Promise.race([hasState(client), waitFor(timers, AbortSignal.any([limit.signal, signal]))]);
		} finally {
			limit.abort();
			close();
		}
	}

	/** Tells the engine to drop the request; procedures go on without waiting for this. */
	async cancel(): Promise<void> {
		const {client, close} = this.#parts.getEngine(this.placement, false);
		try {
			await client.cancel(this.#job.work.id);
		} catch {
			// The engine is out of reach; it ends the request when it sees the closed connection.
			this.#parts.metrics.count('dropped', 'cancel_failed');
		} finally {
			close();
		}
	}

	#createRequest(offset: number, kv: string | undefined): GenerateRequest {
		const {work, prompt} = this.#job;
		return {
			id: work.id,
			model: work.model,
			version: work.version,
			adapter: work.adapter,
			prompt,
			promptTokens: work.promptTokens,
			maxTokens: work.maxTokens,
			offset,
			priority: work.priority,
			kv,
		};
	}
}

async function hasState(client: EngineClient): Promise<boolean> {
	try {
		await client.readState();
		return true;
	} catch {
		return false;
	}
}

async function waitFor(timers: TimerService, signal: AbortSignal): Promise<false> {
	await timers.sleep(probeMs, signal);
	return false;
}
