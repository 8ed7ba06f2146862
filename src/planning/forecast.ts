import type {TimerService} from '../timers/index.js';
import type {TokenDemand} from './capacity.js';

/** Time constants of the two exponential averages, in milliseconds: the fast one follows the present demand, the slow one that of the last minute. */
const fastTimeConstantMs = 4000;
const slowTimeConstantMs = 40_000;
/** Share of the difference between the two averages that is expected to continue as a trend. */
const trendShare = 0.5;

type Average = {prompt: number; output: number};
type Averages = {readonly fast: Average; readonly slow: Average; updatedAt: number};

/** Forecasts demand, in tokens per second, from a fast and a slow average and the trend between them. Keys are `domain/service`. */
export class DemandForecast {
	readonly #timers: TimerService;
	readonly #averages = new Map<string, Averages>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Adds the present demand under `key`. */
	update(key: string, demand: TokenDemand): void {
		const now = this.#timers.getNow();
		const averages = this.#averages.get(key);
		if (!averages) {
			this.#averages.set(key, {fast: {...demand}, slow: {...demand}, updatedAt: now});
			return;
		}

		const elapsedMs = now - averages.updatedAt;
		addSample(averages.fast, demand, elapsedMs / fastTimeConstantMs);
		addSample(averages.slow, demand, elapsedMs / slowTimeConstantMs);
		averages.updatedAt = now;
	}

	/** Computes the expected demand: with a `recencyWeight` of 1 the present demand and its trend, with 0 the demand of the last minute. */
	compute(key: string, recencyWeight: number): TokenDemand {
		const averages = this.#averages.get(key);
		if (!averages) {
			return {prompt: 0, output: 0};
		}

		return {
			prompt: computeExpected(averages.fast.prompt, averages.slow.prompt, recencyWeight),
			output: computeExpected(averages.fast.output, averages.slow.output, recencyWeight),
		};
	}
}

function addSample(average: Average, demand: TokenDemand, elapsedTimeConstants: number): void {
	const weight = 1 - Math.exp(-elapsedTimeConstants);
	average.prompt += (demand.prompt - average.prompt) * weight;
	average.output += (demand.output - average.output) * weight;
}

function computeExpected(fast: number, slow: number, recencyWeight: number): number {
	const trend = (fast - slow) * trendShare;
	return Math.max(0, (recencyWeight * (fast + trend)) + ((1 - recencyWeight) * slow));
}
