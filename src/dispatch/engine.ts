import {EngineHealth} from './health.js';
import {LoadReports} from './loadreports.js';

/** Stages of a generation that an engine serves: the prompt's prefill, the decoding of the answer, or both (`any`). */
export const engineStage = {prefill: 'prefill', decode: 'decode', any: 'any'} as const;

/** See {@link engineStage}. */
export type EngineStage = (typeof engineStage)[keyof typeof engineStage];

/** Registration of an engine, as the engine wrote it. */
export type EngineRecord = {
	readonly id: string;
	/** `host:port`. */
	readonly address: string;
	readonly service: string;
	readonly stage: EngineStage;
	/** Number of requests that it processes at once. */
	readonly slots: number;
	/** Whether it finishes its requests and takes no new ones. */
	readonly isLeaving: boolean;
	/** Wall-clock start of this incarnation, in milliseconds; `undefined` when the engine does not report it. */
	readonly startedAt: number | undefined;
	/** Whether `startedAt` lies so far ahead of this process's clock that it tells nothing about which of two incarnations is the later one. */
	readonly isStartAhead?: boolean;
	/** Number that rises with each write of this incarnation; `undefined` when the engine does not report it. */
	readonly sequence?: number;
	/** Failure domain of its VM; `undefined` when the engine does not report it. */
	readonly domain?: string;
	/** Whether it costs less and may be reclaimed by the platform. */
	readonly isSpot?: boolean;
	/** Time after which an engine that is being reclaimed ends, in milliseconds; `undefined` while it is not. */
	readonly leavesMs?: number;
};

/** Load that an engine reported with an answer: the requests that it processed, and those that waited there. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Factor by which work takes longer on the engine's machine at that moment; 1 as usual. `undefined` where the engine does not report it. */
	readonly slowdown?: number;
};

/** Age up to which a load report counts in full, in milliseconds: a few service times of short requests. */
const freshReportMs = 100;
/** Half-life of a load report beyond that age, in milliseconds: about the time in which a batch of application calls ends. */
const reportHalfLifeMs = 100;
/** Minimum weight of the newest request in the average duration. */
const minDurationWeight = 0.1;
/** Time without a request after which the duration of the next one weighs as much as the average before it, in milliseconds. */
const durationHalfLifeMs = 1000;

/** Time until which the process at an address wants no request of this process: whichever registration a request is for, that process gets it. */
export type AddressPause = {endsAt: number};

/** What this process knows of one engine: its registration, its load and its health. */
export class EngineView {
	readonly health = new EngineHealth();
	/** Its load reports, and its speed apart from the slowdown that they tell. */
	readonly reports = new LoadReports();
	/** Number of requests of this process that the engine has now. */
	localRequests = 0;
	/** Average duration of a request at this engine, in milliseconds; `undefined` before the first one ended. */
	averageDurationMs: number | undefined;
	/** Monotonic time since which the engine's registration is missing, in milliseconds; `undefined` while it is registered. */
	missingSince: number | undefined;
	/** Position of the latest choice of this engine in the turns of its service's engines: see `choosePlainEngine`. */
	turn = Number.NEGATIVE_INFINITY;
	#chosenAt = Number.NEGATIVE_INFINITY;
	#nextDurationWeight = minDurationWeight;
	#remoteRequestsAtReport = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;
	#hasSaidLeaving = false;

	/** Takes the pause that the engines at its address share, and the id of the first incarnation that served the service there, by which limits are kept. */
	constructor(public record: EngineRecord, readonly pause: AddressPause = {endsAt: Number.NEGATIVE_INFINITY}, readonly firstId = record.id) {}

	/** Whether the engine finishes its requests and takes no new ones, by its registration or by an answer. */
	get isLeaving(): boolean {
		return this.record.isLeaving || this.#hasSaidLeaving;
	}

	/** Records that an answer of the engine said that it leaves. Holds for the rest of its incarnation: its registration may be older, or never say so. */
	onLeaving(): void {
		this.#hasSaidLeaving = true;
	}

	/** Records that the engine wants no request of this process for `durationMs` from `now`. An earlier wish that ends later holds. */
	onRetryAfter(durationMs: number, now: number): void {
		this.pause.endsAt = Math.max(this.pause.endsAt, now + durationMs);
	}

	/** Computes for how much longer the engine wants no request of this process, in milliseconds. */
	computePauseMs(now: number): number {
		return Math.max(0, this.pause.endsAt - now);
	}

	/** Tells whether the engine may get a request of this process at `now`: it is not leaving, holds nothing back and is not suspect. */
	isAvailable(now: number): boolean {
		return !this.isLeaving && now >= this.pause.endsAt && this.health.isAvailable(now);
	}

	/** Records the load that the engine reported with an answer. */
	onLoad(load: EngineLoad, now: number): void {
		this.reports.onLoad(load, this.localRequests, now);
		this.#remoteRequestsAtReport = Math.max(0, load.running + load.waiting - this.localRequests);
		this.#reportedAt = now;
	}

	/** Records that the engine was chosen at `now`, and the turn that it took. After a time without requests, the next duration weighs more than the older ones. */
	onChosen(turn: number, now: number): void {
		const staleness = 1 - (0.5 ** ((now - this.#chosenAt) / durationHalfLifeMs));
		this.#nextDurationWeight = Math.max(this.#nextDurationWeight, staleness);
		this.#chosenAt = now;
		this.turn = turn;
	}

	/** Adds the duration of a request to the average, without the slowdown that its answer reported in `load`: it says nothing about the engine's own speed. */
	onDuration(durationMs: number, load?: EngineLoad): void {
		this.reports.onDuration(durationMs, load, this.record.slots);
		const usualMs = durationMs / (load?.slowdown ?? 1);
		this.averageDurationMs = this.averageDurationMs === undefined ? usualMs : this.averageDurationMs + ((usualMs - this.averageDurationMs) * this.#nextDurationWeight);
		this.#nextDurationWeight = minDurationWeight;
	}

	/** Estimates how many requests the engine has at `now`: those of this process, and those of other entries by its latest load report. */
	computeLoad(now: number): number {
		const ageMs = Math.max(0, now - this.#reportedAt - freshReportMs);
		return this.localRequests + (this.#remoteRequestsAtReport * (0.5 ** (ageMs / reportHalfLifeMs)));
	}

	/** Computes the age of the latest load report, in milliseconds; infinite before the first one. */
	computeLoadAgeMs(now: number): number {
		return now - this.#reportedAt;
	}
}
