import {RandomSource} from '../src/rates/index.js';

/** One request of a run. */
export type Job = {
	/** When it is sent, in milliseconds from the start. */
	readonly sendAtMs: number;
	readonly caller: string;
	/** Group of callers whose prompts begin alike. */
	readonly topic: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly isPrefillHeavy: boolean;
};

/** A stretch of a run with one mix. */
export type Phase = {
	readonly durationMs: number;
	readonly requestsPerSecond: number;
	/** Part of the requests that read long documents, 0 to 1. */
	readonly prefillHeavyShare: number;
};

const callerCount = 20;
const topicCount = 40;
/** Part of all requests that the busiest caller sends. */
const busiestCallerShare = 0.3;

/** Lists the jobs of a run: Poisson arrivals, long reading jobs and short drafting jobs. */
export function listJobs(phases: readonly Phase[], seed: number): Job[] {
	const random = new RandomSource(seed);
	const jobs: Job[] = [];
	let phaseStartMs = 0;
	for (const phase of phases) {
		const phaseEndMs = phaseStartMs + phase.durationMs;
		for (let sendAtMs = phaseStartMs + pickArrivalGapMs(phase, random); sendAtMs < phaseEndMs; sendAtMs += pickArrivalGapMs(phase, random)) {
			jobs.push(createJob(sendAtMs, random.getRandom() < phase.prefillHeavyShare, random));
		}

		phaseStartMs = phaseEndMs;
	}

	return jobs;
}

function pickArrivalGapMs(phase: Phase, random: RandomSource): number {
	return -Math.log(1 - random.getRandom()) * 1000 / phase.requestsPerSecond;
}

function createJob(sendAtMs: number, isPrefillHeavy: boolean, random: RandomSource): Job {
	const caller = random.getRandom() < busiestCallerShare ? 0 : random.pickIndex(callerCount);
	return {
		sendAtMs,
		caller: `caller-${caller}`,
		topic: random.pickIndex(topicCount),
		promptTokens: Math.round(isPrefillHeavy ? random.pickBetween(4000, 12_000) : random.pickBetween(150, 600)),
		maxTokens: Math.round(isPrefillHeavy ? random.pickBetween(40, 120) : random.pickBetween(150, 450)),
		isPrefillHeavy,
	};
}
