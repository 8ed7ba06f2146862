import {RandomSource} from '../src/rates/index.js';

/** One request of a run. */
export type Job = {
	/** When it is sent, in milliseconds from the start. */
	readonly at: number;
	readonly caller: string;
	/** Group of callers whose prompts begin alike. */
	readonly topic: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly isReading: boolean;
};

/** A stretch of a run with one mix. */
export type Phase = {
	readonly durationMs: number;
	readonly requestsPerSecond: number;
	/** Part of the requests that read long documents, 0 to 1. */
	readonly readingShare: number;
};

const callerCount = 20;
const topicCount = 40;
/** Part of all requests that the busiest caller sends. */
const busiestShare = 0.3;

/** Lists the jobs of a run: Poisson arrivals, long reading jobs and short drafting jobs. */
export function listJobs(phases: readonly Phase[], seed: number): Job[] {
	const random = new RandomSource(seed);
	const jobs: Job[] = [];
	let start = 0;
	for (const phase of phases) {
		const end = start + phase.durationMs;
		for (let at = start + pickPause(phase, random); at < end; at += pickPause(phase, random)) {
			jobs.push(createJob(at, random.getRandom() < phase.readingShare, random));
		}

		start = end;
	}

	return jobs;
}

function pickPause(phase: Phase, random: RandomSource): number {
	return -Math.log(1 - random.getRandom()) * 1000 / phase.requestsPerSecond;
}

function createJob(at: number, isReading: boolean, random: RandomSource): Job {
	const caller = random.getRandom() < busiestShare ? 0 : random.pickIndex(callerCount);
	return {
		at,
		caller: `caller-${caller}`,
		topic: random.pickIndex(topicCount),
		promptTokens: Math.round(isReading ? random.pickBetween(4000, 12_000) : random.pickBetween(150, 600)),
		maxTokens: Math.round(isReading ? random.pickBetween(40, 120) : random.pickBetween(150, 450)),
		isReading,
	};
}
