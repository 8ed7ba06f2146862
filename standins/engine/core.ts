import {BrokenAnswerError, NotRunError} from '../../src/errors/index.js';
import {enginePhase} from '../../src/upstreams/index.js';
import type {
	CacheEvents, EngineState, GenerateRequest, KvHandle, LoadReport, Order,
} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {Journal} from '../journal.js';
import {kvBytesPerMs} from './costs.js';
import {engineEvent} from './journal.js';
import type {EngineEvent, EngineRow} from './journal.js';
import {KvStore} from './kv.js';
import type {KvRecord} from './kv.js';
import {DelayedLoadReports} from './loadreports.js';
import type {EngineOptions} from './options.js';
import {OrderHandler} from './orderhandler.js';
import {PrefixCache} from './prefixcache.js';
import {EngineRequests} from './requests.js';
import type {Detach} from './requests.js';
import {Scheduler} from './scheduler.js';
import {Sequence} from './sequence.js';
import type {EventSink} from './sequence.js';
import {Silence} from './silence.js';

/** Model engine's stand-in without network: all durations are run by the timer service, and every answer is a function of its request. */
export class EngineCore {
	readonly journal = new Journal<EngineRow>();
	readonly kv: KvStore;
	readonly silence: Silence;
	/** Factor on all durations of the engine's work; a test raises it to slow the engine down. */
	slowFactor = 1;
	/** When set, the engine crashes this many milliseconds after the next `configure` order arrives; used once. */
	crashInChangeMs: number | undefined;
	readonly #timers: TimerService;
	readonly #options: EngineOptions;
	readonly #orders: OrderHandler;
	readonly #cache: PrefixCache;
	readonly #scheduler: Scheduler;
	readonly #requests: EngineRequests;
	readonly #loadReports: DelayedLoadReports;
	#incarnation: number;

	constructor(timers: TimerService, options: EngineOptions, loadWeights?: (bytes: number) => Promise<void>) {
		this.#timers = timers;
		this.#options = options;
		this.#incarnation = timers.getWallTime();
		this.silence = new Silence(timers);
		this.kv = new KvStore(timers, options.kvHoldMs);
		this.#cache = new PrefixCache(timers, options.maxCacheBlocks, options.cacheLagMs);
		this.#orders = new OrderHandler({
			timers,
			isFenced: options.isFenced,
			setup: options.setup,
			getTimeFactor: () => this.#getTimeFactor(),
			record: (event, order, reason) => {
				this.#record(event, order.id, {fence: order.fence, kind: order.kind, reason});
			},
			onConfigure: () => {
				this.#onConfigure();
			},
			loadWeights,
		});
		this.#scheduler = new Scheduler({
			timers,
			cache: this.#cache,
			pieces: options.pieces,
			getRole: () => this.#orders.setup.role,
			getTimeFactor: () => this.#getTimeFactor(),
			hasKv: sequence => this.kv.has(sequence.request),
			onEnd: sequence => {
				this.#requests.finish(sequence);
			},
		});
		this.#requests = new EngineRequests(timers, this.#scheduler, options.reattachTimeoutMs, (event, id, details) => {
			this.#record(event, id, details);
		});
		this.#loadReports = new DelayedLoadReports(timers, () => this.#measureLoad(), options.loadLagMs);
		this.#record(engineEvent.started, '');
	}

	/** Starts a request, or continues one that runs or ended lately under the same id. The result detaches the sink. Throws `NotRunError` when the engine refuses the request. */
	startRequest(request: GenerateRequest, sink: EventSink): Detach {
		const knownSequence = this.#requests.findSequence(request.id);
		if (knownSequence) {
			if (knownSequence.request.prompt !== request.prompt) {
				this.#refuse(request.id, 'another request has this id');
			}

			return this.#requests.resume(knownSequence, request, sink);
		}

		this.#checkAcceptable(request);
		return this.#requests.start(request, sink);
	}

	/** Cancels a request; does nothing when the engine does not run it. */
	cancelRequest(id: string): void {
		this.#requests.cancel(id);
	}

	/** Prefills a prompt and holds its KV cache for import by another engine. Throws `NotRunError` when the engine refuses the request, `BrokenAnswerError` when it drops it. */
	async exportKv(request: GenerateRequest): Promise<KvHandle> {
		this.#checkAcceptable(request);
		await this.#requests.runPrefill(request);
		const {handle, bytes} = this.kv.add(request);
		this.#record(engineEvent.kvExported, request.id);
		return {handle, bytes};
	}

	/**
	Imports a KV cache from another engine, in the time that the transfer of its bytes takes. Throws `NotRunError` when the engine
	is not ready, `BrokenAnswerError` when it restarts meanwhile.
	*/
	async importKv(record: KvRecord): Promise<KvHandle> {
		this.#checkPhase('kv');
		const incarnation = this.#incarnation;
		await this.#timers.sleep(record.bytes / kvBytesPerMs * this.#getTimeFactor());
		if (incarnation !== this.#incarnation) {
			throw new BrokenAnswerError('the engine started anew during the import');
		}

		const {handle, bytes} = this.kv.import(record);
		this.#record(engineEvent.kvImported, handle);
		return {handle, bytes};
	}

	/** Applies an order. Throws `StaleFenceError` when its fence is too low, `OrderRefusedError` when it cannot be applied now. */
	applyOrder(order: Order): EngineState {
		this.#orders.apply(order);
		return this.getState();
	}

	/** Returns the current state. */
	getState(): EngineState {
		const {phase, setup, fence, lastOrder} = this.#orders;
		return {
			...setup, incarnation: this.#incarnation, phase, fence, lastOrder, running: this.#requests.listUnfinished().length,
		};
	}

	/** Returns the load report that is visible to readers now, which is `loadLagMs` old. */
	getLoad(): LoadReport {
		return this.#loadReports.getVisible();
	}

	/** Lists the cache events after `afterSequence` that are visible to readers now. */
	listCacheEvents(afterSequence: number): CacheEvents {
		return {incarnation: this.#incarnation, events: this.#cache.listEvents(afterSequence)};
	}

	/** Crashes and restarts at once: all requests, orders and caches are lost, and the incarnation rises. The journal stays. */
	reset(): void {
		this.#record(engineEvent.crashed, '');
		this.#requests.abort('crashed');
		this.#requests.forgetEnded();
		this.#orders.reset();
		this.#cache.reset();
		this.kv.reset();
		this.#incarnation = Math.max(this.#incarnation + 1, this.#timers.getWallTime());
		this.#record(engineEvent.started, '');
	}

	/** Stops the engine's timers. */
	close(): void {
		this.#loadReports.stop();
		this.#scheduler.reset();
		this.#orders.reset();
	}

	#onConfigure(): void {
		this.#requests.abort('configured while it ran');
		const delayMs = this.crashInChangeMs;
		this.crashInChangeMs = undefined;
		if (delayMs !== undefined) {
			this.#timers.startTimer(delayMs, () => {
				this.reset();
			});
		}
	}

	#checkAcceptable(request: GenerateRequest): void {
		this.#checkPhase(request.id);
		const {setup} = this.#orders;
		if (request.model !== setup.model || request.version !== setup.version) {
			this.#refuse(request.id, `the engine has ${setup.model} ${setup.version}`);
		}

		if (request.adapter !== undefined && !setup.adapters.includes(request.adapter)) {
			this.#refuse(request.id, `the engine does not have the adapter ${request.adapter}`);
		}

		if (new Sequence(request, 0).pieces > this.#options.pieces) {
			this.#refuse(request.id, 'the request is larger than the engine');
		}

		if (this.#scheduler.waiting.length >= this.#options.maxWaitingRequests) {
			this.#refuse(request.id, 'too many requests wait');
		}
	}

	#checkPhase(id: string): void {
		if (this.#orders.phase !== enginePhase.ready) {
			this.#refuse(id, `the engine is ${this.#orders.phase}`);
		}
	}

	#refuse(id: string, reason: string): never {
		this.#record(engineEvent.requestRefused, id, {reason});
		throw new NotRunError(reason);
	}

	#measureLoad(): Omit<LoadReport, 'sequence'> {
		const sequences = this.#requests.listUnfinished();
		return {
			incarnation: this.#incarnation,
			role: this.#orders.setup.role,
			running: this.#scheduler.running.size,
			waiting: this.#scheduler.waiting.length,
			prefillTokens: sequences.reduce((sum, sequence) => sum + sequence.prefillTokens, 0),
			decodeTokens: sequences.reduce((sum, sequence) => sum + sequence.countRemainingTokens(), 0),
			piecesUsed: this.#scheduler.countPieces(),
			pieces: this.#options.pieces,
		};
	}

	#getTimeFactor(): number {
		return this.#options.timeScale * this.slowFactor;
	}

	#record(event: EngineEvent, id: string, details: Partial<EngineRow> = {}): void {
		this.journal.add({
			event, at: this.#timers.getNow(), id, ...details,
		});
	}
}
