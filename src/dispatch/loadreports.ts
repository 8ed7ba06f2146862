import type {EngineLoad} from './engine.js';

/** Minimum weight of the newest normalized duration in the average: the speed of an incarnation rarely changes, and single durations vary by several times. */
const minSpeedWeight = 0.1;
/** Multiple of the average at which a duration is cut off: one call in a hundred takes several times as long, which says nothing about the engine. */
const maxDurationFactor = 3;
/** Number of durations from which the cut-off applies. */
const minTrustedDurations = 4;
/** Weight of the newest report in the long-run means. */
const meanWeight = 0.1;
/** Age at which a reported slowdown says nothing any more, in milliseconds: machines keep theirs for about that time. */
const slowdownLifeMs = 600;
/** Half-life of the difference between a reported load and the long-run mean, in milliseconds: a few service times of short calls. */
const loadHalfLifeMs = 100;

/** What one engine's load reports and durations tell: its own speed, the slowdown of its machine and its load from other entries. Times are monotonic, in milliseconds. */
export class LoadReports {
	/** Whether the engine has reported a slowdown. */
	hasSlowdown = false;
	/** Average duration of a request there without a slowdown of its machine and without a queue, in milliseconds; `undefined` before the first one. */
	normalDurationMs: number | undefined;
	#durationCount = 0;
	#slowdown = 1;
	#meanSlowdown = 1;
	#slowdownAt = Number.NEGATIVE_INFINITY;
	#remoteRequests = 0;
	#meanRemoteRequests = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;

	/** Records a report that was made at `at`; `localRequests` are those of this process that it counts. A report older than the latest one is ignored. */
	onLoad({running, waiting, slowdown}: EngineLoad, localRequests: number, at: number): void {
		if (at < this.#reportedAt) {
			return;
		}

		this.#remoteRequests = Math.max(0, running + waiting - localRequests);
		this.#meanRemoteRequests += (this.#remoteRequests - this.#meanRemoteRequests) * (Number.isFinite(this.#reportedAt) ? meanWeight : 1);
		this.#reportedAt = at;
		if (slowdown !== undefined) {
			this.hasSlowdown = true;
			this.#slowdown = slowdown;
			this.#slowdownAt = at;
			this.#meanSlowdown += (slowdown - this.#meanSlowdown) * meanWeight;
		}
	}

	/** Adds the duration of a request whose answer carried `load`, at an engine of `slots` slots. */
	onDuration(durationMs: number, load: EngineLoad | undefined, slots: number): void {
		// Who finds requests waiting at its end has probably waited behind as many.
		const normalMs = durationMs / (load?.slowdown ?? 1) / (1 + ((load?.waiting ?? 0) / Math.max(1, slots)));
		this.#durationCount++;
		const averageMs = this.normalDurationMs ?? normalMs;
		const cutMs = this.#durationCount > minTrustedDurations ? Math.min(normalMs, averageMs * maxDurationFactor) : normalMs;
		this.normalDurationMs = averageMs + ((cutMs - averageMs) * Math.max(minSpeedWeight, 1 / this.#durationCount));
	}

	/** Estimates the slowdown at `now`: that of the latest report, and with its age more and more the long-run mean. */
	estimateSlowdown(now: number): number {
		const weight = Math.max(0, 1 - (Math.max(0, now - this.#slowdownAt) / slowdownLifeMs));
		return this.#meanSlowdown + ((this.#slowdown - this.#meanSlowdown) * weight);
	}

	/** Estimates how many requests of other entries the engine has at `now`, in the same way. */
	estimateRemoteRequests(now: number): number {
		return this.#meanRemoteRequests + ((this.#remoteRequests - this.#meanRemoteRequests) * this.#computeLoadWeight(now));
	}

	/** Estimates how many requests of other entries the engine has at `now` at least: those of the latest report, fewer with its age, and none in the long run. */
	estimateRecentRequests(now: number): number {
		return this.#remoteRequests * this.#computeLoadWeight(now);
	}

	#computeLoadWeight(now: number): number {
		return 0.5 ** (Math.max(0, now - this.#reportedAt) / loadHalfLifeMs);
	}
}
