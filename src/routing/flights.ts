import type {EngineRole} from '../deployment/index.js';
import {LinearFit} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {Correction} from './correction.js';
import type {Estimate} from './estimate.js';
import type {HealthTable} from './health.js';
import type {EnginePicture, Flight} from './picture.js';
import type {SpeedTable} from './speeds.js';
import type {Placement, Work} from './types.js';

/** A first token that took this many times the expected time, and this much longer in milliseconds, is slow. */
const slowFactor = 4;
const slowMs = 1000;
/** Tokens from which on the time between them is learned. */
const fewestTokens = 4;
/** Share of the longest answer that answers are taken to have until some ended. */
const firstOutputShare = 0.5;
const keptWeight = 0.98;
/** What moving a KV cache is taken to cost until some were moved. */
const firstTransfer: LinearModel = {intercept: 10, slope: 0.03};
const fewestTransfers = 5;

/** What flights are kept with. */
export type FlightParts = {
	readonly timers: TimerService;
	readonly speeds: SpeedTable;
	readonly health: HealthTable;
	readonly getPicture: (upstream: string) => EnginePicture;
	readonly getRole: (upstream: string) => EngineRole;
	readonly countEntries: () => number;
};

/** The entry's own requests in progress, and what is learned from each as it goes on. */
export class Flights {
	readonly #parts: FlightParts;
	readonly #flights = new Map<string, Flight>();
	readonly #outputShares = new Map<string, number>();
	readonly #corrections = new Map<string, Correction>();
	readonly #transfer = new LinearFit(keptWeight);

	constructor(parts: FlightParts) {
		this.#parts = parts;
	}

	/** Number of requests in progress. */
	get size(): number {
		return this.#flights.size;
	}

	/** Computes the tokens that an answer is expected to have. */
	computeOutput(work: Work): number {
		return Math.max(1, work.maxTokens * (this.#outputShares.get(work.service) ?? firstOutputShare));
	}

	/** Takes in a request that was sent. */
	add(work: Work, placement: Placement, estimate: Estimate | undefined): void {
		const now = this.#parts.timers.getNow();
		const picture = this.#parts.getPicture(placement.upstream.id);
		const flight: Flight = {
			work,
			placement,
			sentAt: now,
			prefillTokens: estimate?.prefillTokens ?? work.promptTokens,
			aheadTokens: Math.max(0, estimate?.ahead.prefillTokens ?? 0),
			aheadRunning: estimate?.ahead.running ?? picture.running,
			ownAheadTokens: picture.pendingTokens,
			activeAtFirst: 0,
			expectedFirstMs: estimate?.firstMs ?? Number.POSITIVE_INFINITY,
			expectedEndMs: estimate?.endMs ?? Number.POSITIVE_INFINITY,
			expectedPrefillMs: estimate?.aloneFirstMs ?? 0,
			lastAt: now,
			tokens: 0,
		};
		const key = this.#getKey(work, placement);
		this.#removeKey(key, now);
		this.#flights.set(key, flight);
		picture.add(flight);
		if (placement.prefill) {
			this.#parts.getPicture(placement.prefill.id).add(flight);
		}
	}

	/** Takes in tokens of an answer. */
	onTokens(work: Work, placement: Placement, count: number): void {
		const flight = this.#flights.get(this.#getKey(work, placement));
		if (!flight) {
			return;
		}

		const now = this.#parts.timers.getNow();
		flight.tokens += count;
		flight.lastAt = now;
		if (flight.firstAt === undefined) {
			flight.firstAt = now;
			flight.activeAtFirst = this.#computeActive(placement.upstream.id);
			this.#onFirstToken(flight, now - flight.sentAt);
		}
	}

	/** Takes a request out, and learns the rest from it when it ended well. */
	remove(work: Work, placement: Placement, isDone: boolean): void {
		const activeAtEnd = this.#computeActive(placement.upstream.id);
		const flight = this.#removeKey(this.#getKey(work, placement), this.#parts.timers.getNow());
		if (flight && isDone) {
			this.#onDone(flight, activeAtEnd);
		}
	}

	/** Computes the factor by which answers of a service take longer than expected. */
	computeCorrection(service: string): number {
		return this.#corrections.get(service)?.computeFactor(this.#parts.timers.getNow()) ?? 1;
	}

	/** Computes the time for moving the KV cache of `tokens` tokens, in milliseconds. */
	computeTransferMs(tokens: number): number {
		const line = this.#transfer.count < fewestTransfers ? firstTransfer : this.#transfer.computeModel() ?? {intercept: this.#transfer.getMeans().y, slope: 0};
		return line.intercept + (line.slope * tokens);
	}

	#removeKey(key: string, now: number): Flight | undefined {
		const flight = this.#flights.get(key);
		if (!flight) {
			return undefined;
		}

		this.#flights.delete(key);
		const {upstream, prefill} = flight.placement;
		this.#parts.getPicture(upstream.id).remove(flight, now);
		if (prefill) {
			this.#parts.getPicture(prefill.id).remove(flight, now);
		}

		return flight;
	}

	#onFirstToken(flight: Flight, waitMs: number): void {
		const {work, placement: {upstream, prefill, via}} = flight;
		this.#parts.health.onFirstToken(upstream.id, waitMs > (flight.expectedFirstMs * slowFactor) + slowMs);
		if (prefill === undefined && via === undefined) {
			this.#parts.speeds.onFirstToken(work.service, upstream.id, this.#parts.getRole(upstream.id), {
				tokens: flight.aheadTokens + flight.prefillTokens,
				certainTokens: flight.ownAheadTokens + flight.prefillTokens,
				waitMs,
			});
		} else if (prefill) {
			this.#transfer.add(work.promptTokens, Math.max(0, waitMs - flight.expectedPrefillMs));
		}
	}

	#onDone(flight: Flight, activeAtEnd: number): void {
		const {work, placement: {upstream, via}} = flight;
		const now = this.#parts.timers.getNow();
		if (Number.isFinite(flight.expectedEndMs)) {
			const correction = this.#corrections.get(work.service) ?? new Correction();
			this.#corrections.set(work.service, correction);
			correction.add(flight.expectedEndMs, now - flight.sentAt, now);
		}

		if (work.maxTokens > 0) {
			const known = this.#outputShares.get(work.service) ?? firstOutputShare;
			this.#outputShares.set(work.service, (known * keptWeight) + ((1 - keptWeight) * Math.min(1, flight.tokens / work.maxTokens)));
		}

		if (flight.firstAt === undefined || flight.tokens < fewestTokens || via !== undefined) {
			return;
		}

		const gapMs = (flight.lastAt - flight.firstAt) / (flight.tokens - 1);
		const active = Math.max(1, (flight.activeAtFirst + activeAtEnd) / 2);
		this.#parts.speeds.onGap(work.service, upstream.id, this.#parts.getRole(upstream.id), {gapMs, active});
	}

	#computeActive(upstream: string): number {
		const picture = this.#parts.getPicture(upstream);
		const {running} = picture.computeBacklog(this.#parts.timers.getNow(), 1, this.#parts.countEntries());
		return picture.computeActive(running);
	}

	#getKey(work: Work, placement: Placement): string {
		return `${work.id}\n${placement.upstream.id}`;
	}
}
