import type {DemandFact} from '../feed/index.js';
import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 5000;

type Meters = {readonly requests: DecayedSum; readonly prompt: DecayedSum; readonly output: DecayedSum};

/** Work offered to this entry, by service, admitted or not. */
export class DemandMeter {
	readonly #timers: TimerService;
	readonly #services = new Map<string, Meters>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Counts one request with the tokens of its prompt and those expected of its answer. */
	count(service: string, promptTokens: number, outputTokens: number): void {
		const now = this.#timers.getNow();
		const meters = this.#services.get(service) ?? {
			requests: new DecayedSum(halfLifeMs), prompt: new DecayedSum(halfLifeMs), output: new DecayedSum(halfLifeMs),
		};
		this.#services.set(service, meters);
		meters.requests.add(1, now);
		meters.prompt.add(promptTokens, now);
		meters.output.add(outputTokens, now);
	}

	/** Lists the services that had work. */
	listServices(): string[] {
		return [...this.#services.keys()];
	}

	/** Computes the work offered to a service lately. */
	compute(service: string): DemandFact {
		const now = this.#timers.getNow();
		const meters = this.#services.get(service);
		return {
			requestsPerSecond: meters?.requests.computeRate(now) ?? 0,
			promptTokensPerSecond: meters?.prompt.computeRate(now) ?? 0,
			outputTokensPerSecond: meters?.output.computeRate(now) ?? 0,
		};
	}
}
