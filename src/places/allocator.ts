import {
	AdmissionQueue,
	chooseGenerationPlacement,
	computeRetryAfterMs,
	countPrefixTokens,
	createPrefillWork,
	engineOutcome,
	engineStage,
	EngineUsage,
	estimateFirstTokenMs,
	GrantRate,
	heldBack,
	isLong,
	maxReturnShare,
	noPrefillWork,
	PrefillModel,
	PrefixCacheIndex,
	QueueRefusal,
	ServicePace,
} from '../dispatch/index.js';
import type {
	EngineOutcome, EngineRecord, EngineView, Fleet, GenerationPlacement, PlacementContext, Prefill, PrefixBlock, StreamPace,
} from '../dispatch/index.js';
import {refusalReason} from '../errors/index.js';
import {BlockQuarantine, CrashAttribution} from '../quarantine/index.js';
import type {CrashReport, Run} from '../quarantine/index.js';
import {RequestLimits, RequestPermits} from '../requestlimits/index.js';
import type {LimitedEngine} from '../requestlimits/index.js';
import {WorkMeter} from '../scaling/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {AllocatorClients} from './clients.js';
import {formatRequestKind, isLate, Reservation} from './types.js';
import type {PermitAnswer, ReservedEngines, ReservationRequest} from './types.js';

/** Time after a request's deadline at which its reservation is released if the holder has not released it, in milliseconds. */
const expiryMarginMs = 500;
/** Share of the time that its caller waits up to which the expected time of a request is granted: prompts of others in front of it often take longer than expected. */
const maxExpectedShare = 0.9;
/** Time without requests after which other entries may have placed prompts at the engines, in milliseconds: several requests come in it on any load that fills caches. */
const maxUnfollowedMs = 1500;
/** Maximum time for which an entry is told to ask for no further permit, in milliseconds, unless none can be granted for longer; and the time for each entry that asks, which bounds their messages. */
const maxPermitWaitMs = 250;
const permitWaitPerClientMs = 5;
/** Work of reading a token of a prompt, in that of generating one: an engine reads many at once. It weighs the customers' requests against each other. */
const promptTokenWork = 1 / 64;
/** Share of the capacity that is open to answers which will be late. */
const lateShare = 0.5;

export type SlotAllocatorDependencies = {
	readonly timers: TimerService;
	readonly fleet: Fleet;
	readonly getRandom: () => number;
	/** Returns the share of each engine's capacity that this allocator may grant, above 0 up to 1. */
	readonly getSlotShare: () => number;
	/** Blocks that crash engines; requests with them are refused. Default: only those found out by this allocator. */
	readonly quarantine?: BlockQuarantine;
	/** Limits that engines set on the requests of all entries. Default: only those that other entries tell of. */
	readonly limits?: RequestLimits;
	/** Returns the share of the limits of a service's engines that this allocator may grant, above 0 up to 1. Default: 1. */
	readonly getLimitShare?: (service: string) => number;
	/** Returns whether the work of a service is measured, as its engines are ordered by it. Default: it is. */
	readonly isMetered?: (service: string) => boolean;
	/** Called when work that no request waits for failed. */
	readonly onTaskFailed?: (task: string, error: unknown) => void;
	/** Called when an engine crashed while it had reserved requests. */
	readonly onCrash?: (report: CrashReport) => void;
	/** Asks an engine which blocks it holds; `undefined` when it does not say. */
	readonly listHeldBlocks?: (engine: EngineRecord) => Promise<readonly PrefixBlock[] | undefined>;
};

/**
Grants reservations on the engines of generation services. It accounts for every reservation that it granted, so that no
engine gets more work than it can take and the other requests of a service wait in one queue. It does no I/O; callers on
this VM and on others use it through a `ReservationProvider`.
*/
export class SlotAllocator {
	/** Blocks that crash engines. */
	readonly quarantine: BlockQuarantine;
	/** Limits that engines set on the requests of all entries. */
	readonly limits: RequestLimits;
	/** The entries that use this allocator. */
	readonly clients = new AllocatorClients();
	readonly timers: TimerService;
	readonly #permits: RequestPermits;
	readonly #dependencies: SlotAllocatorDependencies;
	readonly #queues = new Map<string, AdmissionQueue<Allocation>>();
	readonly #workMeters = new Map<string, WorkMeter>();
	readonly #grantRates = new Map<string, GrantRate>();
	readonly #usages = new WeakMap<EngineView, EngineUsage>();
	readonly #kindModels = new Map<string, PrefillModel>();
	readonly #servicePaces = new Map<string, ServicePace>();
	readonly #prefixCaches = new PrefixCacheIndex();
	readonly #attribution: CrashAttribution;
	#allocationCount = 0;
	/** Engines whose caches are followed; those of others are asked for. */
	#followedViews = new WeakSet<EngineView>();
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor(dependencies: SlotAllocatorDependencies) {
		this.#dependencies = dependencies;
		this.timers = dependencies.timers;
		this.quarantine = dependencies.quarantine ?? new BlockQuarantine();
		this.limits = dependencies.limits ?? new RequestLimits();
		this.#permits = new RequestPermits(this.limits, service => dependencies.getLimitShare?.(service) ?? 1);
		this.#attribution = new CrashAttribution(dependencies.timers, this.quarantine, report => {
			dependencies.onCrash?.(report);
		});
		dependencies.fleet.subscribe(view => {
			if (!view.isLeaving) {
				this.#attribution.onEngineGone(view);
			}
		});
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
		if (reservation instanceof QueueRefusal) {
			throw reservation.toError();
		}

		return reservation;
	}

	/** Waits for a reservation; returns a refusal where `acquire` throws. */
	async tryAcquire(request: ReservationRequest, signal: AbortSignal): Promise<LocalReservation | QueueRefusal> {
		const {timers} = this;
		const meter = this.findWorkMeter(request.service);
		if (!meter) {
			return this.#tryAcquire(request, signal);
		}

		const targetAt = timers.getNow() + request.targetMs;
		const arrival = meter.onArrival(timers.getNow());
		let result: LocalReservation | QueueRefusal | undefined;
		try {
			result = await this.#tryAcquire(request, signal);
			return result;
		} finally {
			const isTooLate = result instanceof LocalReservation
				? timers.getNow() + result.engines.firstTokenMs > targetAt
				: !signal.aborted && result?.reason !== refusalReason.quarantined;
			meter.onWaitEnd(arrival, result instanceof LocalReservation ? result.promptMs : undefined, isTooLate && !isLate(request), timers.getNow());
		}
	}

	/** Returns what measures the work of a service, where that is needed. */
	findWorkMeter(service: string): WorkMeter | undefined {
		return this.#dependencies.isMetered?.(service) === false ? undefined : this.getWorkMeter(service);
	}

	/** Returns what measures the work that callers ask of a service's engines. */
	getWorkMeter(service: string): WorkMeter {
		const meter = this.#workMeters.get(service) ?? new WorkMeter();
		this.#workMeters.set(service, meter);
		return meter;
	}

	/**
	Accounts for a reservation that another allocator granted and that is still held, so that the engines do not look idle
	after a change of allocator. Returns `undefined` when its engines are not known here.
	*/
	registerReservation(request: ReservationRequest, engines: ReservedEngines, isPrefillPending: boolean): LocalReservation | undefined {
		const {timers, fleet} = this.#dependencies;
		const decodeEngine = fleet.findServing(engines.decodeEngine);
		const prefillEngine = engines.prefillEngine === undefined ? undefined : fleet.findServing(engines.prefillEngine);
		if (!decodeEngine || (engines.prefillEngine !== undefined && !prefillEngine)) {
			return undefined;
		}

		const promptTokens = request.uniqueTokens + countPrefixTokens(request);
		const work = isPrefillPending ? createPrefillWork(request.uniqueTokens, promptTokens) : noPrefillWork;
		const reservation = new LocalReservation(this, this.#recordReservation(request, {
			prefillEngine, decodeEngine, prefixSource: undefined, work, firstTokenMs: engines.firstTokenMs,
		}, timers.getNow()), request, {timers, isAdopted: true});
		if (!isPrefillPending) {
			reservation.onPrefillEnd(undefined);
		}

		return reservation;
	}

	/** Computes the share of the latest requests of the same kind that were granted, 0 to 1. */
	computeGrantRate(request: ReservationRequest): number {
		return this.#getGrantRate(request).compute(this.#dependencies.timers.getNow());
	}

	/**
	Grants a permit to send one request to an engine that names a limit, for a request that needs no reservation. `priorCount` are the requests
	that the asking entry sent it in the second before it knew of the limit.
	*/
	tryTakePermit(engine: LimitedEngine, priorCount: number): PermitAnswer {
		const now = this.timers.getNow();
		this.#permits.addPrior(engine, priorCount, now);
		if (this.#permits.tryTake(engine, now)) {
			return {isGranted: true, waitMs: 0};
		}

		const maxWaitMs = Math.max(maxPermitWaitMs, this.clients.countAsking(engine.service, now) * permitWaitPerClientMs);
		const returnMs = Math.min(maxWaitMs, this.#permits.scheduleReturnMs(engine, maxWaitMs, now));
		return {isGranted: false, waitMs: Math.max(returnMs, this.#permits.computeWaitMs(engine, now))};
	}

	/** Counts a request of this process to an engine that was sent without a reservation. */
	onSend(engine: LimitedEngine): void {
		this.#permits.onSend(engine, this.timers.getNow());
	}

	/** Counts the requests of this process to an engine that were sent without a reservation in the latest second. */
	countRecentSends(engine: LimitedEngine): number {
		return this.#permits.countRecent(engine, this.timers.getNow());
	}

	/** Tries to grant the queued requests of all services, for example after an engine was added. */
	serveWaiting(): void {
		for (const queue of this.#queues.values()) {
			queue.dispatch();
		}
	}

	/** Returns what is reserved on an engine. */
	getUsage(view: EngineView): EngineUsage {
		let usage = this.#usages.get(view);
		if (!usage) {
			usage = new EngineUsage(view.record.stage === engineStage.prefill, this.#getKindModel(view), this.#getServicePace(view.record.service));
			this.#usages.set(view, usage);
		}

		return usage;
	}

	/** Records that the blocks of a prompt are in an engine's memory now, or that the engine failed to read them. */
	onBlocksRead(view: EngineView, blocks: readonly PrefixBlock[], hasRead: boolean): void {
		this.#prefixCaches.finishRead(view, blocks, hasRead);
	}

	/** Records how the prefill of a reservation ended. */
	onRunPrefilled(run: Run, outcome: EngineOutcome | undefined): void {
		this.#attribution.onPrefillEnd(run, outcome);
	}

	/** Records that the decode engine of a reservation sends nothing for its request, or that it goes on after that. */
	onRunSilence(run: Run, isSilent: boolean): void {
		this.#attribution.onSilence(run, isSilent);
	}

	/** Records how the request of a reservation ended. */
	onRunEnd(run: Run, outcome: EngineOutcome | undefined): void {
		this.#attribution.onEnd(run, outcome);
	}

	/** Reports that work which no request waits for failed. */
	reportFailure(task: string, error: unknown): void {
		this.#dependencies.onTaskFailed?.(task, error);
	}

	/** Tries to grant the queued requests of a service after capacity was released. */
	onCapacityFreed(service: string): void {
		this.#queues.get(service)?.dispatch();
	}

	async #tryAcquire(request: ReservationRequest, signal: AbortSignal): Promise<LocalReservation | QueueRefusal> {
		const {timers, fleet} = this.#dependencies;
		const now = timers.getNow();
		const excluded = new Set(request.excludedEngines);
		this.#loadCaches(request, now);
		const allocation = await this.#getQueue(request.service).tryWait({
			targetAt: now + request.targetMs, deadlineAt: now + request.deadlineMs, firstByteDeadlineAt: now + request.firstByteTimeoutMs, queuedAt: now, serviceMs: request.serviceMs,
			group: isLong(request) ? 'long' : 'short',
			customer: request.customer, work: request.outputTokens + (request.uniqueTokens * promptTokenWork),
		}, at => {
			const serving = fleet.listServing(request.service);
			const result = this.#tryAllocate(request, serving.filter(view => !excluded.has(view.record.id)), {
				now: at, targetAt: now + request.targetMs, callerLeavesAt: now + Math.min(request.deadlineMs, request.firstByteTimeoutMs),
			});
			// Engines that this request may not use may have places for those behind it.
			const mayOthersPass = result === undefined && excluded.size > 0 && serving.some(view => excluded.has(view.record.id) && this.#isAvailableToDecode(view, at));
			return mayOthersPass ? heldBack : result;
		}, signal);
		const isGranted = !(allocation instanceof QueueRefusal);
		// What is wrong with one prompt says nothing about the requests of its kind, nor does a cancelled request, and a limit ends sooner than a rate would show it.
		if (isGranted || (!signal.aborted && allocation.reason !== refusalReason.quarantined && allocation.reason !== refusalReason.limited)) {
			this.#getGrantRate(request).onEnd(isGranted, timers.getNow());
		}

		return isGranted ? new LocalReservation(this, allocation, request, {timers, isAdopted: false}) : allocation;
	}

	#getServicePace(service: string): ServicePace {
		const pace = this.#servicePaces.get(service) ?? new ServicePace();
		this.#servicePaces.set(service, pace);
		return pace;
	}

	/** Returns the prefill model of the engines of the same service and stage. */
	#getKindModel({record: {service, stage}}: EngineView): PrefillModel {
		const kind = `${service} ${stage}`;
		const model = this.#kindModels.get(kind) ?? new PrefillModel();
		this.#kindModels.set(kind, model);
		return model;
	}

	/** Allocates engines to a request unless its prompt has blocks that crash engines; one with suspect blocks is placed only on engines without other suspects. */
	#tryAllocate(request: ReservationRequest, views: readonly EngineView[], times: AllocationTimes): Allocation | QueueRefusal | typeof heldBack | undefined {
		const quarantineMs = this.quarantine.computeRemainingMs(request.prefixBlocks, times.now);
		if (quarantineMs > 0) {
			return new QueueRefusal(refusalReason.quarantined, quarantineMs);
		}

		const open = views.filter(({record}) => this.#permits.computeWaitMs(record, times.now) === 0);
		if (open.length < views.length && !open.some(view => this.#isAvailableToDecode(view, times.now))) {
			const limited = views.filter(view => !open.includes(view) && this.#isAvailableToDecode(view, times.now));
			if (limited.length > 0) {
				return this.#refuseLimited(limited, times);
			}
		}

		const suspects = this.#attribution.listSuspects(request.prefixBlocks);
		return suspects.length === 0
			? this.#tryPlace(request, open, times)
			: this.#tryPlace(request, this.#attribution.selectEngines(open, suspects), times) ?? heldBack;
	}

	#isAvailableToDecode(view: EngineView, now: number): boolean {
		return view.record.stage !== engineStage.prefill && this.getUsage(view).health.isAvailable(now);
	}

	/** Refuses a request for which all engines that could decode have got as many requests as their limits allow. */
	#refuseLimited(limited: readonly EngineView[], {now, callerLeavesAt}: AllocationTimes): QueueRefusal {
		let next = limited[0]!;
		for (const view of limited) {
			next = this.#permits.computeWaitMs(view.record, now) < this.#permits.computeWaitMs(next.record, now) ? view : next;
		}

		return new QueueRefusal(refusalReason.limited, this.#permits.scheduleReturnMs(next.record, (callerLeavesAt - now) * maxReturnShare, now));
	}

	#tryPlace(request: ReservationRequest, views: readonly EngineView[], {now, targetAt, callerLeavesAt}: AllocationTimes): Allocation | QueueRefusal | undefined {
		const slotShare = this.#dependencies.getSlotShare();
		const context: PlacementContext = {
			now,
			slotShare,
			getUsage: view => this.getUsage(view),
			prefixCaches: this.#prefixCaches,
			hasShortWaiting: this.#getQueue(request.service).countWaiting('short') > 0,
		};
		const maxFirstTokenMs = (callerLeavesAt - now) * maxExpectedShare;
		let placement = chooseGenerationPlacement(views, request, context);
		if (placement && now + placement.firstTokenMs > targetAt) {
			// An answer that will be late gets what requests that can be on time leave.
			placement = chooseGenerationPlacement(views, request, {...context, slotShare: slotShare * lateShare});
		}

		if (!placement || placement.firstTokenMs > maxFirstTokenMs) {
			const isHopeless = estimateFirstTokenMs(views, request, context) > maxFirstTokenMs && views.length > 0;
			return isHopeless ? new QueueRefusal(refusalReason.overload, computeRetryAfterMs(callerLeavesAt - now, this.#dependencies.getRandom())) : undefined;
		}

		const {prefillEngine, decodeEngine} = placement;
		for (const view of prefillEngine ? [prefillEngine, decodeEngine] : [decodeEngine]) {
			this.getUsage(view).health.onSend();
			this.#permits.onSend(view.record, now);
			this.#permits.tryTake(view.record, now);
		}

		return this.#recordReservation(request, placement, now);
	}

	/** Accounts for a reservation. */
	#recordReservation(request: ReservationRequest, placement: GenerationPlacement, now: number): Allocation {
		const {prefillEngine, decodeEngine} = placement;
		const prefill = this.getUsage(prefillEngine ?? decodeEngine).startPrefill(placement.work, now);
		this.getUsage(decodeEngine).startDecode(request, prefillEngine !== undefined);
		// The engines keep the unique part too, until other blocks need its memory.
		const blocks = [...request.prefixBlocks, {id: `unique ${this.#allocationCount++}`, tokens: request.uniqueTokens}];
		// After the prefill both engines hold the blocks: one computed or fetched them, the other received them with the KV cache.
		for (const view of prefillEngine ? [prefillEngine, decodeEngine] : [decodeEngine]) {
			this.getUsage(view).addKv(request);
			this.#prefixCaches.startRead(view, blocks, request.kvCapacityTokens);
		}

		return {
			placement, prefill, blocks, run: this.#attribution.start(request.prefixBlocks, placement),
		};
	}

	/**
	Asks the engines of a service which blocks they hold unless this allocator has followed their caches by what it placed
	there: after a start, and after a time in which others allocated. An allocator that grants a share only does not ask, since
	all entries do so then.
	*/
	#loadCaches(request: ReservationRequest, now: number): void {
		const {fleet, getSlotShare, listHeldBlocks} = this.#dependencies;
		if (now - this.#lastRequestAt > maxUnfollowedMs) {
			this.#followedViews = new WeakSet();
		}

		this.#lastRequestAt = now;
		if (!listHeldBlocks || getSlotShare() < 1) {
			return;
		}

		for (const view of fleet.listServing(request.service)) {
			if (!this.#followedViews.has(view) && view.computePauseMs(now) === 0 && !this.limits.isLimited(view.record)) {
				this.#followedViews.add(view);
				void this.#addHeldBlocks(view, request.kvCapacityTokens, listHeldBlocks);
			}
		}
	}

	async #addHeldBlocks(view: EngineView, kvCapacityTokens: number, listHeldBlocks: NonNullable<SlotAllocatorDependencies['listHeldBlocks']>): Promise<void> {
		try {
			const blocks = await listHeldBlocks(view.record);
			if (blocks) {
				this.#prefixCaches.addHeld(view, blocks, kvCapacityTokens);
				this.onCapacityFreed(view.record.service);
			}
		} catch (error) {
			this.reportFailure('add the blocks that an engine holds', error);
		}
	}

	#getGrantRate(request: ReservationRequest): GrantRate {
		const kind = formatRequestKind(request);
		const grantRate = this.#grantRates.get(kind) ?? new GrantRate();
		this.#grantRates.set(kind, grantRate);
		return grantRate;
	}

	#getQueue(service: string): AdmissionQueue<Allocation> {
		let queue = this.#queues.get(service);
		if (!queue) {
			queue = new AdmissionQueue<Allocation>(this.#dependencies.timers, this.#dependencies.getRandom);
			this.#queues.set(service, queue);
		}

		return queue;
	}
}

/** Monotonic times of an attempt to allocate, in milliseconds. */
type AllocationTimes = {readonly now: number; readonly targetAt: number; readonly callerLeavesAt: number};

type Allocation = {readonly placement: GenerationPlacement; readonly prefill: Prefill; readonly blocks: readonly PrefixBlock[]; readonly run: Run};

/** A reservation granted by the allocator of this process. */
export class LocalReservation extends Reservation {
	readonly engines: ReservedEngines;
	/** Estimated time that the prompt keeps its engine busy, in milliseconds. */
	readonly promptMs: number;
	readonly #allocator: SlotAllocator;
	readonly #placement: GenerationPlacement;
	readonly #prefill: Prefill;
	readonly #blocks: readonly PrefixBlock[];
	readonly #run: Run;
	readonly #request: ReservationRequest;
	readonly #timers: TimerService;
	readonly #expiryTimer: Timer;
	readonly #isAdopted: boolean;
	readonly #meter: WorkMeter | undefined;
	#isPrefillPending = true;
	#isHeld = true;
	/** Whether the request counts in the usage of its decode engine. */
	#isDecodeCounted = true;
	/** Whether the decode engine's silence was recorded before the end of its send. */
	#isSilenceRecorded = false;

	/** Takes whether another allocator granted the reservation; its prefill then tells nothing of the engine's speed. */
	constructor(allocator: SlotAllocator, {placement, prefill, blocks, run}: Allocation, request: ReservationRequest, {timers, isAdopted}: {readonly timers: TimerService; readonly isAdopted: boolean}) {
		super();
		this.#isAdopted = isAdopted;
		this.#allocator = allocator;
		this.#placement = placement;
		this.#prefill = prefill;
		this.#blocks = blocks;
		this.#run = run;
		this.#request = request;
		this.#timers = timers;
		this.engines = {
			prefillEngine: placement.prefillEngine?.record.id, decodeEngine: placement.decodeEngine.record.id, prefixSource: placement.prefixSource?.record.id, firstTokenMs: placement.firstTokenMs,
		};
		this.promptMs = allocator.getUsage(placement.prefillEngine ?? placement.decodeEngine).computeBusyMs(placement.work);
		this.#meter = allocator.findWorkMeter(request.service);
		this.#meter?.onHold(timers.getNow());
		this.#expiryTimer = timers.startTimer(request.deadlineMs + expiryMarginMs, () => {
			this.release(undefined);
		});
	}

	onPrefillEnd(outcome: EngineOutcome | undefined): void {
		if (!this.#isPrefillPending) {
			return;
		}

		this.#isPrefillPending = false;
		this.#meter?.onDecode(this.#timers.getNow());
		const {prefillEngine, decodeEngine} = this.#placement;
		this.#allocator.onRunPrefilled(this.#run, outcome);
		this.#allocator.onBlocksRead(prefillEngine ?? decodeEngine, this.#blocks, outcome === engineOutcome.answered);
		this.#allocator.getUsage(prefillEngine ?? decodeEngine).finishPrefill(this.#prefill, this.#timers.getNow(), outcome === engineOutcome.answered && !this.#isAdopted);
		if (prefillEngine) {
			this.#allocator.getUsage(prefillEngine).releaseKv(this.#request);
			this.#allocator.getUsage(decodeEngine).onPrefilled();
			this.#onOutcome(prefillEngine, outcome);
		}

		this.#allocator.onCapacityFreed(this.#request.service);
	}

	onSilence(isSilent: boolean): void {
		if (!this.#isHeld) {
			return;
		}

		const {health} = this.#allocator.getUsage(this.#placement.decodeEngine);
		this.#isSilenceRecorded = isSilent;
		// Whether the engine still has the request is not known: it may have lost it. It counts again when the engine goes on with it.
		this.onPrefillEnd(undefined);
		this.#allocator.onRunSilence(this.#run, isSilent);
		this.#countDecode(!isSilent);
		if (isSilent) {
			health.onOutcome(engineOutcome.silent, this.#timers.getNow());
		} else {
			health.onResume(this.#timers.getNow());
		}

		this.#allocator.onCapacityFreed(this.#request.service);
	}

	onPace(pace: StreamPace): void {
		this.#allocator.getUsage(this.#placement.decodeEngine).pace.add(pace, this.#timers.getNow());
	}

	release(outcome: EngineOutcome | undefined): void {
		if (!this.#isHeld) {
			return;
		}

		this.onPrefillEnd(undefined);
		this.#isHeld = false;
		this.#meter?.onRelease(this.#timers.getNow());
		this.#expiryTimer.cancel();
		this.#allocator.onRunEnd(this.#run, outcome);
		const {prefillEngine, decodeEngine} = this.#placement;
		if (prefillEngine) {
			this.#allocator.onBlocksRead(decodeEngine, this.#blocks, outcome === engineOutcome.answered);
		}

		this.#countDecode(false);
		this.#onOutcome(this.#placement.decodeEngine, outcome === engineOutcome.silent && this.#isSilenceRecorded ? undefined : outcome);
		this.#allocator.onCapacityFreed(this.#request.service);
	}

	/** Counts the request in the usage of its decode engine, or no longer. */
	#countDecode(isCounted: boolean): void {
		if (this.#isDecodeCounted === isCounted) {
			return;
		}

		this.#isDecodeCounted = isCounted;
		const usage = this.#allocator.getUsage(this.#placement.decodeEngine);
		if (isCounted) {
			usage.startDecode(this.#request, false);
			usage.addKv(this.#request);
		} else {
			usage.releaseKv(this.#request);
			usage.finishDecode(this.#request);
		}
	}

	#onOutcome(view: EngineView, outcome: EngineOutcome | undefined): void {
		const {health} = this.#allocator.getUsage(view);
		if (outcome) {
			health.onOutcome(outcome, this.#timers.getNow());
		} else {
			health.onInconclusive();
		}
	}
}
