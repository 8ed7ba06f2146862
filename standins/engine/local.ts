import {BrokenAnswerError, ForeignAnswerError, NotRunError} from '../../src/errors/index.js';
import {EngineClient} from '../../src/upstreams/index.js';
import type {
	CacheEvents, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, Order,
} from '../../src/upstreams/index.js';
import type {EngineCore} from './core.js';
import {EngineFaults} from './faults.js';
import type {EventSink} from './sequence.js';

/** Events between an engine and its reader; it holds one answer at most. */
class EventQueue implements EventSink {
	readonly #events: GenerateEvent[] = [];
	#failure: Error | undefined;
	#wake: (() => void) | undefined;

	onEvent(event: GenerateEvent): void {
		this.#events.push(event);
		this.#wake?.();
	}

	onCut(reason: string): void {
		this.#failure = new BrokenAnswerError(reason);
		this.#wake?.();
	}

	async take(): Promise<GenerateEvent> {
		for (;;) {
			const event = this.#events.shift();
			if (event) {
				return event;
			}

			if (this.#failure) {
				throw this.#failure;
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}

/** An engine in the same process, without network: for tests with `ManualTimers`. */
export class LocalEngine extends EngineClient {
	readonly faults = new EngineFaults();
	/** Refuses every call as an engine does that is not there. */
	isGone = false;

	/** Takes the engine, and how to find the engines that KV caches come from. */
	constructor(readonly core: EngineCore, private readonly findEngine: (source: string) => EngineCore | undefined = () => undefined) {
		super();
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		this.#checkThere();
		const events = new EventQueue();
		const detach = this.core.startRequest(request, this.faults.wrapSink(events));
		const onAbort = () => {
			events.onCut('the caller closed the connection');
		};

		signal.addEventListener('abort', onAbort, {once: true});
		try {
			let {offset} = request;
			for (;;) {
				const event = await events.take();
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
			detach();
		}
	}

	async cancel(id: string): Promise<void> {
		this.#checkThere();
		this.core.cancelRequest(id);
	}

	async readLoad(): Promise<LoadReport> {
		this.#checkThere();
		return this.core.getLoad();
	}

	async readState(): Promise<EngineState> {
		this.#checkThere();
		return this.core.getState();
	}

	async sendOrder(order: Order): Promise<EngineState> {
		this.#checkThere();
		return this.core.applyOrder(order);
	}

	async exportKv(request: GenerateRequest): Promise<KvHandle> {
		this.#checkThere();
		return this.core.exportKv(request);
	}

	async importKv(source: string, handle: string): Promise<KvHandle> {
		this.#checkThere();
		const record = this.findEngine(source)?.kv.findRecord(handle);
		if (!record) {
			throw new NotRunError(`${source} does not hold ${handle}`);
		}

		return this.core.importKv(record);
	}

	async readCacheEvents(afterSequence: number): Promise<CacheEvents> {
		this.#checkThere();
		return this.core.listCacheEvents(afterSequence);
	}

	#checkThere(): void {
		if (this.isGone) {
			throw new NotRunError('no connection');
		}
	}
}
