import {
	CachePicture, chooseGenerationPlace, engineSign, engineStage, EngineUse, GivenPart, isLong, LineRefusal, WaitingLine,
} from '../dispatch/index.js';
import type {
	EngineSign, EngineView, Fleet, GenerationPlace, Reading,
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
	readonly #lines = new Map<string, WaitingLine<GivenPlace>>();
	readonly #givenParts = new Map<string, GivenPart>();
	readonly #uses = new WeakMap<EngineView, EngineUse>();
	readonly #caches = new CachePicture();

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
		if (place instanceof LineRefusal) {
			throw place.toError();
		}

		return place;
	}

	/** Waits for a place; returns a refusal where `acquire` throws. */
	async tryAcquire(ask: PlaceAsk, signal: AbortSignal): Promise<KeptPlace | LineRefusal> {
		const {timers, fleet} = this.#parts;
		const now = timers.getNow();
		const tried = new Set(ask.tried);
		const given = await this.#getLine(ask.service).tryWait({
			targetAt: now + ask.targetMs, deadlineAt: now + ask.deadlineMs, patientUntil: now + ask.patienceMs, since: now, serviceMs: ask.serviceMs,
			group: isLong(ask) ? 'long' : 'short',
		}, at => this.#tryPlace(ask, fleet.listServing(ask.service).filter(view => !tried.has(view.record.id)), at), signal);
		const isGiven = !(given instanceof LineRefusal);
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
			line.serve();
		}
	}

	/** Returns what is given of an engine's places. */
	getUse(view: EngineView): EngineUse {
		let use = this.#uses.get(view);
		if (!use) {
			use = new EngineUse(view.record.stage === engineStage.prefill);
			this.#uses.set(view, use);
		}

		return use;
	}

	/** Lets the line of a service go on after a place became free. */
	onFree(service: string): void {
		this.#lines.get(service)?.serve();
	}

	#tryPlace(ask: PlaceAsk, views: readonly EngineView[], now: number): GivenPlace | undefined {
		const place = chooseGenerationPlace(views, ask, {
			now, share: this.#parts.getShare(), getUse: view => this.getUse(view), caches: this.#caches, isCrowded: this.#getLine(ask.service).countWaiting('short') > 0,
		});
		if (!place) {
			return undefined;
		}

		const {reader, writer} = place;
		for (const view of reader ? [reader, writer] : [writer]) {
			this.getUse(view).health.onSend();
		}

		const reading = this.getUse(reader ?? writer).startReading(place.readTokens, now);
		this.getUse(writer).startWriting(ask, reader !== undefined);
		// Both have the shared parts when the prompt was read: one read or fetched them, the other was handed them.
		for (const view of reader ? [reader, writer] : [writer]) {
			this.#caches.add(view, ask.shared, ask.engineTokens);
		}

		return {place, reading};
	}

	#getGivenPart(ask: PlaceAsk): GivenPart {
		const kind = formatKind(ask);
		const part = this.#givenParts.get(kind) ?? new GivenPart();
		this.#givenParts.set(kind, part);
		return part;
	}

	#getLine(service: string): WaitingLine<GivenPlace> {
		let line = this.#lines.get(service);
		if (!line) {
			line = new WaitingLine<GivenPlace>(this.#parts.timers, this.#parts.pickUnit);
			this.#lines.set(service, line);
		}

		return line;
	}
}

type GivenPlace = {readonly place: GenerationPlace; readonly reading: Reading};

/** A place given by the keeper of this process. */
export class KeptPlace extends HeldPlace {
	readonly engines: GrantedEngines;
	readonly #keeper: PlaceKeeper;
	readonly #place: GenerationPlace;
	readonly #reading: Reading;
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
		this.engines = {reader: place.reader?.record.id, writer: place.writer.record.id, keeper: place.keeper?.record.id};
		this.#expiry = timers.startTimer(ask.deadlineMs + expirySlackMs, () => {
			this.release(undefined);
		});
	}

	onRead(sign: EngineSign | undefined): void {
		if (!this.#isReading) {
			return;
		}

		this.#isReading = false;
		const {reader, writer} = this.#place;
		this.#keeper.getUse(reader ?? writer).finishReading(this.#reading, this.#timers.getNow(), sign === engineSign.answered);
		if (reader) {
			this.#keeper.getUse(writer).onRead();
			this.#onSign(reader, sign);
		}

		this.#keeper.onFree(this.#ask.service);
	}

	release(sign: EngineSign | undefined): void {
		if (!this.#isWriting) {
			return;
		}

		this.onRead(undefined);
		this.#isWriting = false;
		this.#expiry.cancel();
		this.#keeper.getUse(this.#place.writer).finishWriting(this.#ask);
		this.#onSign(this.#place.writer, sign);
		this.#keeper.onFree(this.#ask.service);
	}

	#onSign(view: EngineView, sign: EngineSign | undefined): void {
		const {health} = this.#keeper.getUse(view);
		if (sign) {
			health.onSign(sign, this.#timers.getNow());
		} else {
			health.onGivenUp();
		}
	}
}
