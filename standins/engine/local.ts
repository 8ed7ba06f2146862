import {BrokenAnswerError, ForeignAnswerError, NotRunError} from '../../src/errors/index.js';
import {EngineClient, OrderConnection} from '../../src/upstreams/index.js';
import type {
	CacheEvents, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, Order,
} from '../../src/upstreams/index.js';
import type {EngineCore} from './core.js';
import {EngineFaults} from './faults.js';
import type {EventSink} from './sequence.js';

/** Queue of the events of one answer, between an engine and the reader; bounded by the length of the answer. */
class EventQueue implements EventSink {
	readonly #events: GenerateEvent[] = [];
	#failure: Error | undefined;
	#wakeReader: (() => void) | undefined;

	onEvent(event: GenerateEvent): void {
		this.#events.push(event);
		this.#wakeReader?.();
	}

	onCut(reason: string): void {
		this.#failure = new BrokenAnswerError(reason);
		this.#wakeReader?.();
	}

	async dequeue(): Promise<GenerateEvent> {
		for (;;) {
			const event = this.#events.shift();
			if (event) {
				return event;
			}

			if (this.#failure) {
				throw this.#failure;
			}

			await new Promise<void>(resolve => {
				this.#wakeReader = resolve;
			});
		}
	}
}

/** Client of an engine in the same process, without network; for tests with `ManualTimers`. */
export class LocalEngine extends EngineClient {
	readonly faults = new EngineFaults();
	/** When set, every call fails with `NotRunError`, as for an engine that accepts no connection. */
	isUnreachable = false;

	/** Creates a client of `core`; `findEngine` returns the engine that the `source` of an import names. */
	constructor(readonly core: EngineCore, private readonly findEngine: (source: string) => EngineCore | undefined = () => undefined) {
		super();
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		this.#checkReachable();
		if (this.core.silence.isActive) {
			await this.#waitUntilHeard();
		}

		const events = new EventQueue();
		const detach = this.core.startRequest(request, this.faults.wrapSink(this.core.silence.wrapSink(events)));
		const onAbort = () => {
			events.onCut('the caller closed the connection');
		};

		signal.addEventListener('abort', onAbort, {once: true});
		try {
			let {offset} = request;
			for (;;) {
				const event = await events.dequeue();
				if (event.id !== request.id || event.offset !== offset) {
					throw new ForeignAnswerError(`expected ${request.id}@${offset}, got ${event.id}@${event.offset}`);
				}

				yield event;
				if (event.kind === 'end') {
					return;
				}

				offset++;
			}
		} finally {
			signal.removeEventListener('abort', onAbort);
			void this.#closeConnection(detach);
		}
	}

	async cancel(id: string): Promise<void> {
		await this.#waitUntilHeard();
		this.core.cancelRequest(id);
	}

	async readLoad(): Promise<LoadReport> {
		await this.#waitUntilHeard();
		return this.core.getLoad();
	}

	async readState(): Promise<EngineState> {
		await this.#waitUntilHeard();
		return this.core.getState();
	}

	async openOrderConnection(): Promise<OrderConnection> {
		await this.#waitUntilHeard();
		return new LocalOrderConnection(this.core, async () => this.#waitUntilHeard());
	}

	async exportKv(request: GenerateRequest): Promise<KvHandle> {
		await this.#waitUntilHeard();
		return this.core.exportKv(request);
	}

	async importKv(source: string, handle: string): Promise<KvHandle> {
		await this.#waitUntilHeard();
		const record = this.findEngine(source)?.kv.findRecord(handle);
		if (!record) {
			throw new NotRunError(`${source} does not hold ${handle}`);
		}

		return this.core.importKv(record);
	}

	async readCacheEvents(afterSequence: number): Promise<CacheEvents> {
		await this.#waitUntilHeard();
		return this.core.listCacheEvents(afterSequence);
	}

	/** Waits until the engine reads the call. */
	async #waitUntilHeard(): Promise<void> {
		this.#checkReachable();
		await this.core.silence.wait();
		this.#checkReachable();
	}

	/** Lets the engine see that the connection is closed, which it does not while it is silent. */
	async #closeConnection(detach: () => void): Promise<void> {
		if (this.core.silence.isActive) {
			await this.core.silence.wait();
		}

		detach();
	}

	#checkReachable(): void {
		if (this.isUnreachable) {
			throw new NotRunError('no connection');
		}
	}
}

/** See {@link OrderConnection}. */
class LocalOrderConnection extends OrderConnection {
	readonly #core: EngineCore;
	readonly #incarnation: number;
	readonly #waitUntilHeard: () => Promise<void>;

	constructor(core: EngineCore, waitUntilHeard: () => Promise<void>) {
		super();
		this.#core = core;
		this.#incarnation = core.getState().incarnation;
		this.#waitUntilHeard = waitUntilHeard;
	}

	async send(order: Order): Promise<EngineState> {
		await this.#waitUntilHeard();
		if (this.#core.getState().incarnation !== this.#incarnation) {
			throw new NotRunError('the connection ended with the engine\'s process');
		}

		return this.#core.applyOrder(order);
	}

	close(): void {
		// Nothing is kept open.
	}
}
