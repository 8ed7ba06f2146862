import type {DemandFact} from '../feed/index.js';
import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 5000;

type DemandSums = {readonly requests: DecayedSum; readonly prompt: DecayedSum; readonly output: DecayedSum};

/** Work offered to this entry, by service, admitted or not. */
export class DemandMeter {
	readonly #timers: TimerService;
	readonly #sums = new Map<string, DemandSums>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Counts one request with the tokens of its prompt and those expected of its answer. */
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

	/** Lists the services that had work. */
	listServices(): string[] {
		return [...this.#sums.keys()];
	}

	/** Computes the work offered to a service lately. */
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
