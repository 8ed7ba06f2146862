/** How fast an engine sent the events of one stream. */
export type StreamPace = {
	/** Mean time between two events, in milliseconds. */
	readonly intervalMs: number;
	/** Slowdown of the engine's machine that its answer reported; 1 is as usual. */
	readonly slowdown: number;
	/** Longest time between two events at which the stream is on time, in milliseconds. */
	readonly targetGapMs: number;
};

/** Weight of the newest stream in the mean interval of an engine, and in the mean slowdown of a service's engines. */
const intervalWeight = 0.3;
const slowdownWeight = 0.05;
/** Period over which the largest slowdown is taken, in milliseconds; that of the period before counts too. */
const slowdownPeriodMs = 15_000;

/** How much the machines of a service's engines slow down, and how long the pauses of its streams may be. */
export class ServicePace {
	/** Shortest of the streams' longest pauses, in milliseconds; infinite before the first stream. */
	targetGapMs = Number.POSITIVE_INFINITY;
	meanSlowdown = 1;
	#maxSlowdown = 1;
	#previousMaxSlowdown = 1;
	#periodStartedAt = Number.NEGATIVE_INFINITY;

	/** The largest slowdown of late. */
	get maxSlowdown(): number {
		return Math.max(this.#maxSlowdown, this.#previousMaxSlowdown, this.meanSlowdown);
	}

	/** Adds a stream that ended at `now`, in milliseconds. */
	add({slowdown, targetGapMs}: StreamPace, now: number): void {
		this.targetGapMs = Math.min(this.targetGapMs, targetGapMs);
		this.meanSlowdown += (slowdown - this.meanSlowdown) * slowdownWeight;
		if (now - this.#periodStartedAt >= slowdownPeriodMs) {
			this.#previousMaxSlowdown = this.#maxSlowdown;
			this.#maxSlowdown = 1;
			this.#periodStartedAt = now;
		}

		this.#maxSlowdown = Math.max(this.#maxSlowdown, slowdown);
	}
}

/**
Pace of the streams of one engine, whose machine others share. It answers long streams whose every pause counts, on engines of different
speeds: a slow engine keeps its pauses short only until its machine slows down, which most streams meet as they last for several such times.
*/
export class EnginePace {
	readonly #service: ServicePace;
	/** Mean time between two events, in milliseconds; `undefined` before the first stream. */
	#intervalMs: number | undefined;

	constructor(service = new ServicePace()) {
		this.#service = service;
	}

	/** Adds a stream that ended at `now`, in milliseconds. */
	add(pace: StreamPace, now: number): void {
		this.#service.add(pace, now);
		this.#intervalMs = this.#intervalMs === undefined ? pace.intervalMs : this.#intervalMs + ((pace.intervalMs - this.#intervalMs) * intervalWeight);
	}

	/** Computes the time between two events while the machine is as slow as those of the service get, as a share of the longest pause; 0 before anything was measured, so that the engine is tried. */
	computeWorstShare(): number {
		const {meanSlowdown, maxSlowdown, targetGapMs} = this.#service;
		return this.#intervalMs === undefined ? 0 : this.#intervalMs / meanSlowdown * maxSlowdown / targetGapMs;
	}
}
