import {RandomSource} from '../src/rates/index.js';

/** One request of a run. */
export type Job = {
	/** Time from the start of the run at which the request is sent, in milliseconds. */
	readonly sendAtMs: number;
	readonly caller: string;
	/** Number of the topic; the prompts of prefill-heavy jobs with the same topic share a prefix. */
	readonly topic: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Whether the job has a long prompt and a short answer, rather than a short prompt and a long answer. */
	readonly isPrefillHeavy: boolean;
};

/** Part of a run with a constant request rate and mix of jobs. */
export type Phase = {
	readonly durationMs: number;
	readonly requestsPerSecond: number;
	/** Share of the requests that are prefill-heavy, 0 to 1. */
	readonly prefillHeavyShare: number;
};

const callerCount = 20;
const topicCount = 40;
/** Share of requests that always come from the first caller; the others are spread evenly over all callers, the first included. */
const busiestCallerShare = 0.3;

/** Lists the jobs of a run in the order of their arrival: a Poisson process of prefill-heavy and decode-heavy jobs. The same seed gives the same jobs. */
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
