import type {TimerService} from '../timers/index.js';
import type {TokenDemand} from './capacity.js';

/** Times over which demand is averaged, in milliseconds: the mix of now, and that of the last minute. */
const fastTimeConstantMs = 4000;
const slowTimeConstantMs = 40_000;
/** Part of the difference between the two that is taken to go on. */
const trendShare = 0.5;

type Average = {prompt: number; output: number};
type Averages = {readonly fast: Average; readonly slow: Average; updatedAt: number};

/** A forecast of tokens a second from two averages and the trend between them. */
export class DemandForecast {
	readonly #timers: TimerService;
	readonly #averages = new Map<string, Averages>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Takes in the demand of this moment. */
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

	/** Computes what is expected: with `recencyWeight` 1 the mix of now and its trend, with 0 that of the last minute. */
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
