import {
	PrefixCacheIndex, chooseGenerationPlacement, engineOutcome, engineStage, EngineUsage, GrantRate, isLong, QueueRefusal, AdmissionQueue,
} from '../dispatch/index.js';
import type {
	EngineOutcome, EngineView, Fleet, GenerationPlacement, Prefill,
} from '../dispatch/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {formatKind, HeldPlace} from './types.js';
import type {GrantedEngines, PlaceAsk} from './types.js';

/** Time after a request's deadline when its place is taken back from a holder that was not heard, in milliseconds. */
const expirySlackMs = 500;

/** What keeping places needs. */
export type KeeperParts = {
	readonly timers: TimerService;
	readonly fleet: Fleet;
	readonly pickUnit: () => number;
	/** Part of each engine's places that this keeper may give, above 0 up to 1. */
	readonly getShare: () => number;
};

/**
Gives the places of generation services: knows each place that it gave, so that engines get what they can take and the
rest waits in one line. Without I/O; callers on this or other VMs ask through a `PlaceSource`.
*/
export class PlaceKeeper {
	readonly #parts: KeeperParts;
	readonly #lines = new Map<string, AdmissionQueue<GivenPlace>>();
	readonly #givenParts = new Map<string, GrantRate>();
	readonly #uses = new WeakMap<EngineView, EngineUsage>();
	readonly #caches = new PrefixCacheIndex();

	constructor(parts: KeeperParts) {
		this.#parts = parts;
	}

	/** Number of requests that wait for a place. */
	get waiting(): number {
		let waiting = 0;
		for (const line of this.#lines.values()) {
			waiting += line.size;
		}

		return waiting;
	}

	/** Waits for a place. Throws `NotRunError` when the request is refused instead. */
	async acquire(ask: PlaceAsk, signal: AbortSignal): Promise<KeptPlace> {
		const place = await this.tryAcquire(ask, signal);
		if (place instanceof QueueRefusal) {
			throw place.toError();
		}

		return place;
	}

	/** Waits for a place; returns a refusal where `acquire` throws. */
	async tryAcquire(ask: PlaceAsk, signal: AbortSignal): Promise<KeptPlace | QueueRefusal> {
		const {timers, fleet} = this.#parts;
		const now = timers.getNow();
		const tried = new Set(ask.tried);
		const given = await this.#getLine(ask.service).tryWait({
			targetAt: now + ask.targetMs, deadlineAt: now + ask.deadlineMs, firstByteDeadlineAt: now + ask.patienceMs, queuedAt: now, serviceMs: ask.serviceMs,
			group: isLong(ask) ? 'long' : 'short',
		}, at => this.#tryPlace(ask, fleet.listServing(ask.service).filter(view => !tried.has(view.record.id)), at), signal);
		const isGiven = !(given instanceof QueueRefusal);
		this.#getGivenPart(ask).onEnd(isGiven, timers.getNow());
		return isGiven ? new KeptPlace(this, given, ask, timers) : given;
	}

	/** Computes the part of the last asks of a kind that got a place, 0 to 1. */
	computeGivenPart(ask: PlaceAsk): number {
		return this.#getGivenPart(ask).compute(this.#parts.timers.getNow());
	}

	/** Lets waiting requests look for places again, as when an engine was added. */
	serveWaiting(): void {
		for (const line of this.#lines.values()) {
			line.dispatch();
		}
	}

	/** Returns what is given of an engine's places. */
	getUse(view: EngineView): EngineUsage {
		let use = this.#uses.get(view);
		if (!use) {
			use = new EngineUsage(view.record.stage === engineStage.prefill);
			this.#uses.set(view, use);
		}

		return use;
	}

	/** Lets the line of a service go on after a place became free. */
	onFree(service: string): void {
		this.#lines.get(service)?.dispatch();
	}

	#tryPlace(ask: PlaceAsk, views: readonly EngineView[], now: number): GivenPlace | undefined {
		const place = chooseGenerationPlacement(views, ask, {
			now, slotShare: this.#parts.getShare(), getUsage: view => this.getUse(view), prefixCaches: this.#caches, hasShortWaiting: this.#getLine(ask.service).countWaiting('short') > 0,
		});
		if (!place) {
			return undefined;
		}

		const {prefillEngine: reader, decodeEngine: writer} = place;
		for (const view of reader ? [reader, writer] : [writer]) {
			this.getUse(view).health.onSend();
		}

		const reading = this.getUse(reader ?? writer).startPrefill(place.prefillTokens, now);
		this.getUse(writer).startDecode(ask, reader !== undefined);
		// Both have the shared parts when the prompt was read: one read or fetched them, the other was handed them.
		for (const view of reader ? [reader, writer] : [writer]) {
			this.#caches.add(view, ask.prefixBlocks, ask.engineTokens);
		}

		return {place, reading};
	}

	#getGivenPart(ask: PlaceAsk): GrantRate {
		const kind = formatKind(ask);
		const part = this.#givenParts.get(kind) ?? new GrantRate();
		this.#givenParts.set(kind, part);
		return part;
	}

	#getLine(service: string): AdmissionQueue<GivenPlace> {
		let line = this.#lines.get(service);
		if (!line) {
			line = new AdmissionQueue<GivenPlace>(this.#parts.timers, this.#parts.pickUnit);
			this.#lines.set(service, line);
		}

		return line;
	}
}

type GivenPlace = {readonly place: GenerationPlacement; readonly reading: Prefill};

/** A place given by the keeper of this process. */
export class KeptPlace extends HeldPlace {
	readonly engines: GrantedEngines;
	readonly #keeper: PlaceKeeper;
	readonly #place: GenerationPlacement;
	readonly #reading: Prefill;
	readonly #ask: PlaceAsk;
	readonly #timers: TimerService;
	readonly #expiry: Timer;
	#isReading = true;
	#isWriting = true;

	constructor(keeper: PlaceKeeper, {place, reading}: GivenPlace, ask: PlaceAsk, timers: TimerService) {
		super();
		this.#keeper = keeper;
		this.#place = place;
		this.#reading = reading;
		this.#ask = ask;
		this.#timers = timers;
		this.engines = {reader: place.prefillEngine?.record.id, writer: place.decodeEngine.record.id, keeper: place.prefixSource?.record.id};
		this.#expiry = timers.startTimer(ask.deadlineMs + expirySlackMs, () => {
			this.release(undefined);
		});
	}

	onRead(sign: EngineOutcome | undefined): void {
		if (!this.#isReading) {
			return;
		}

		this.#isReading = false;
		const {prefillEngine: reader, decodeEngine: writer} = this.#place;
		this.#keeper.getUse(reader ?? writer).finishPrefill(this.#reading, this.#timers.getNow(), sign === engineOutcome.answered);
		if (reader) {
			this.#keeper.getUse(writer).onPrefilled();
			this.#onSign(reader, sign);
		}

		this.#keeper.onFree(this.#ask.service);
	}

	release(sign: EngineOutcome | undefined): void {
		if (!this.#isWriting) {
			return;
		}

		this.onRead(undefined);
		this.#isWriting = false;
		this.#expiry.cancel();
		this.#keeper.getUse(this.#place.decodeEngine).finishDecode(this.#ask);
		this.#onSign(this.#place.decodeEngine, sign);
		this.#keeper.onFree(this.#ask.service);
	}

	#onSign(view: EngineView, sign: EngineOutcome | undefined): void {
		const {health} = this.#keeper.getUse(view);
		if (sign) {
			health.onOutcome(sign, this.#timers.getNow());
		} else {
			health.onInconclusive();
		}
	}
}
