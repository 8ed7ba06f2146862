import {EngineHealth} from './health.js';

/** What part of a generation an engine does; `any` where it does both. */
export const engineStage = {prefill: 'prefill', decode: 'decode', any: 'any'} as const;

/** See {@link engineStage}. */
export type EngineStage = (typeof engineStage)[keyof typeof engineStage];

/** What an engine registered of itself. */
export type EngineRecord = {
	readonly id: string;
	/** `host:port`. */
	readonly address: string;
	readonly service: string;
	readonly stage: EngineStage;
	/** Requests that it processes at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Wall-clock start of this lifetime, in milliseconds; `undefined` when it does not say. */
	readonly startedAt: number | undefined;
};

/** How busy an engine said that it was when it answered. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
};

/** Time for which a load report counts in full, in milliseconds: a few service times of short requests. */
const freshReportMs = 100;
/** Half-life of an older load report, in milliseconds: about the time in which a batch of application calls ends. */
const reportHalfLifeMs = 100;
/** Weight of the newest duration in the average. */
const durationWeight = 0.1;

/** What this process believes of one engine: its registration, its load and its health. */
export class EngineView {
	readonly health = new EngineHealth();
	/** Requests of this process that the engine has now. */
	localRequests = 0;
	/** Average time of a request at this engine, in milliseconds. */
	averageDurationMs: number | undefined;
	#remoteRequestsAtReport = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(public record: EngineRecord) {}

	/** Takes in the load that an answer carried. */
	onLoad(load: EngineLoad, now: number): void {
		this.#remoteRequestsAtReport = Math.max(0, load.running + load.waiting - this.localRequests);
		this.#reportedAt = now;
	}

	/** Takes in how long a request took. */
	onDuration(durationMs: number): void {
		this.averageDurationMs = this.averageDurationMs === undefined ? durationMs : this.averageDurationMs + ((durationMs - this.averageDurationMs) * durationWeight);
	}

	/** Computes how many requests the engine has, its own callers' and other entries'. */
	computeLoad(now: number): number {
		const ageMs = Math.max(0, now - this.#reportedAt - freshReportMs);
		return this.localRequests + (this.#remoteRequestsAtReport * (0.5 ** (ageMs / reportHalfLifeMs)));
	}

	/** Computes the age of the newest load report, in milliseconds. */
	computeLoadAgeMs(now: number): number {
		return now - this.#reportedAt;
	}
}
