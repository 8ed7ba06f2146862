import {
	CachePicture, chooseGenerationPlace, engineSign, engineStage, EngineUse, GivenPart, isLong, LineRefusal, WaitingLine,
} from '../dispatch/index.js';
import type {
	EngineSign, EngineView, Fleet, GenerationPlace, Reading,
} from '../dispatch/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {formatRequestKind, Reservation} from './types.js';
import type {ReservedEngines, ReservationRequest} from './types.js';

/** Time after a request's deadline at which its reservation is released if the holder has not released it, in milliseconds. */
const expiryMarginMs = 500;

export type SlotAllocatorDependencies = {
	readonly timers: TimerService;
	readonly fleet: Fleet;
	readonly getRandom: () => number;
	/** Returns the share of each engine's capacity that this allocator may grant, above 0 up to 1. */
	readonly getSlotShare: () => number;
};

/**
Grants reservations on the engines of generation services. It accounts for every reservation that it granted, so that no
engine gets more work than it can take and the other requests of a service wait in one queue. It does no I/O; callers on
this VM and on others use it through a `ReservationProvider`.
*/
export class SlotAllocator {
	readonly #dependencies: SlotAllocatorDependencies;
	readonly #queues = new Map<string, WaitingLine<Allocation>>();
	readonly #grantRates = new Map<string, GivenPart>();
	readonly #usages = new WeakMap<EngineView, EngineUse>();
	readonly #prefixCaches = new CachePicture();

	constructor(dependencies: SlotAllocatorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Number of requests that wait for a reservation, of all services. */
	get waitingRequests(): number {
		let count = 0;
		for (const queue of this.#queues.values()) {
			count += queue.size;
		}

		return count;
	}

	/** Waits for a reservation. Throws `NotRunError` when the request is refused or `signal` is aborted. */
	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<LocalReservation> {
		const reservation = await this.tryAcquire(request, signal);
		if (reservation instanceof LineRefusal) {
			throw reservation.toError();
		}

		return reservation;
	}

	/** Waits for a reservation; returns a refusal where `acquire` throws. */
	async tryAcquire(request: ReservationRequest, signal: AbortSignal): Promise<LocalReservation | LineRefusal> {
		const {timers, fleet} = this.#dependencies;
		const now = timers.getNow();
		const excluded = new Set(request.excludedEngines);
		const allocation = await this.#getQueue(request.service).tryWait({
			targetAt: now + request.targetMs, deadlineAt: now + request.deadlineMs, patientUntil: now + request.firstByteTimeoutMs, since: now, serviceMs: request.serviceMs,
			group: isLong(request) ? 'long' : 'short',
		}, at => this.#tryAllocate(request, fleet.listServing(request.service).filter(view => !excluded.has(view.record.id)), at), signal);
		const isGranted = !(allocation instanceof LineRefusal);
		this.#getGrantRate(request).onEnd(isGranted, timers.getNow());
		return isGranted ? new LocalReservation(this, allocation, request, timers) : allocation;
	}

	/** Computes the share of the latest requests of the same kind that were granted, 0 to 1. */
	computeGrantRate(request: ReservationRequest): number {
		return this.#getGrantRate(request).compute(this.#dependencies.timers.getNow());
	}

	/** Tries to grant the queued requests of all services, for example after an engine was added. */
	serveWaiting(): void {
		for (const queue of this.#queues.values()) {
			queue.serve();
		}
	}

	/** Returns what is reserved on an engine. */
	getUsage(view: EngineView): EngineUse {
		let usage = this.#usages.get(view);
		if (!usage) {
			usage = new EngineUse(view.record.stage === engineStage.prefill);
			this.#usages.set(view, usage);
		}

		return usage;
	}

	/** Tries to grant the queued requests of a service after capacity was released. */
	onCapacityFreed(service: string): void {
		this.#queues.get(service)?.serve();
	}

	#tryAllocate(request: ReservationRequest, views: readonly EngineView[], now: number): Allocation | undefined {
		const placement = chooseGenerationPlace(views, request, {
			now, share: this.#dependencies.getSlotShare(), getUse: view => this.getUsage(view), caches: this.#prefixCaches, isCrowded: this.#getQueue(request.service).countWaiting('short') > 0,
		});
		if (!placement) {
			return undefined;
		}

		const {reader: prefillEngine, writer: decodeEngine} = placement;
		for (const view of prefillEngine ? [prefillEngine, decodeEngine] : [decodeEngine]) {
			this.getUsage(view).health.onSend();
		}

		const prefill = this.getUsage(prefillEngine ?? decodeEngine).startReading(placement.readTokens, now);
		this.getUsage(decodeEngine).startWriting(request, prefillEngine !== undefined);
		// After the prefill both engines hold the prefix blocks: one computed or fetched them, the other received them with the KV cache.
		for (const view of prefillEngine ? [prefillEngine, decodeEngine] : [decodeEngine]) {
			this.#prefixCaches.add(view, request.shared, request.kvCapacityTokens);
		}

		return {placement, prefill};
	}

	#getGrantRate(request: ReservationRequest): GivenPart {
		const kind = formatRequestKind(request);
		const grantRate = this.#grantRates.get(kind) ?? new GivenPart();
		this.#grantRates.set(kind, grantRate);
		return grantRate;
	}

	#getQueue(service: string): WaitingLine<Allocation> {
		let queue = this.#queues.get(service);
		if (!queue) {
			queue = new WaitingLine<Allocation>(this.#dependencies.timers, this.#dependencies.getRandom);
			this.#queues.set(service, queue);
		}

		return queue;
	}
}

type Allocation = {readonly placement: GenerationPlace; readonly prefill: Reading};

/** A reservation granted by the allocator of this process. */
export class LocalReservation extends Reservation {
	readonly engines: ReservedEngines;
	readonly #allocator: SlotAllocator;
	readonly #placement: GenerationPlace;
	readonly #prefill: Reading;
	readonly #request: ReservationRequest;
	readonly #timers: TimerService;
	readonly #expiryTimer: Timer;
	#isPrefillPending = true;
	#isHeld = true;

	constructor(allocator: SlotAllocator, {placement, prefill}: Allocation, request: ReservationRequest, timers: TimerService) {
		super();
		this.#allocator = allocator;
		this.#placement = placement;
		this.#prefill = prefill;
		this.#request = request;
		this.#timers = timers;
		this.engines = {prefillEngine: placement.reader?.record.id, decodeEngine: placement.writer.record.id, prefixSource: placement.keeper?.record.id};
		this.#expiryTimer = timers.startTimer(request.deadlineMs + expiryMarginMs, () => {
			this.release(undefined);
		});
	}

	onPrefillEnd(outcome: EngineSign | undefined): void {
		if (!this.#isPrefillPending) {
			return;
		}

		this.#isPrefillPending = false;
		const {reader: prefillEngine, writer: decodeEngine} = this.#placement;
		this.#allocator.getUsage(prefillEngine ?? decodeEngine).finishReading(this.#prefill, this.#timers.getNow(), outcome === engineSign.answered);
		if (prefillEngine) {
			this.#allocator.getUsage(decodeEngine).onRead();
			this.#onOutcome(prefillEngine, outcome);
		}

		this.#allocator.onCapacityFreed(this.#request.service);
	}

	release(outcome: EngineSign | undefined): void {
		if (!this.#isHeld) {
			return;
		}

		this.onPrefillEnd(undefined);
		this.#isHeld = false;
		this.#expiryTimer.cancel();
		this.#allocator.getUsage(this.#placement.writer).finishWriting(this.#request);
		this.#onOutcome(this.#placement.writer, outcome);
		this.#allocator.onCapacityFreed(this.#request.service);
	}

	#onOutcome(view: EngineView, outcome: EngineSign | undefined): void {
		const {health} = this.#allocator.getUsage(view);
		if (outcome) {
			health.onSign(outcome, this.#timers.getNow());
		} else {
			health.onGivenUp();
		}
	}
}
