import type {DemandFact} from '../feed/index.js';
import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 5000;

type DemandSums = {readonly requests: DecayedSum; readonly prompt: DecayedSum; readonly output: DecayedSum};

/** Measures the load offered to this entry, by service, whether it is admitted or not. */
export class DemandMeter {
	readonly #timers: TimerService;
	readonly #sums = new Map<string, DemandSums>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Counts a request with the tokens of its prompt and the expected tokens of its answer. */
	count(service: string, promptTokens: number, outputTokens: number): void {
		const now = this.#timers.getNow();
		const sums = this.#sums.get(service) ?? {
			requests: new DecayedSum(halfLifeMs), prompt: new DecayedSum(halfLifeMs), output: new DecayedSum(halfLifeMs),
		};
		this.#sums.set(service, sums);
		sums.requests.add(1, now);
		sums.prompt.add(promptTokens, now);
		sums.output.add(outputTokens, now);
	}

	/** Lists the services that requests were counted for. */
	listServices(): string[] {
		return [...this.#sums.keys()];
	}

	/** Computes the recent demand for a service. */
	compute(service: string): DemandFact {
		const now = this.#timers.getNow();
		const sums = this.#sums.get(service);
		return {
			requestsPerSecond: sums?.requests.computeRate(now) ?? 0,
			promptTokensPerSecond: sums?.prompt.computeRate(now) ?? 0,
			outputTokensPerSecond: sums?.output.computeRate(now) ?? 0,
		};
	}
}
