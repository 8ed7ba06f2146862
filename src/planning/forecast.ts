import type {TimerService} from '../timers/index.js';
import type {TokenDemand} from './capacity.js';

/** Times over which demand is averaged, in milliseconds: the mix of now, and that of the last minute. */
const fastMs = 4000;
const slowMs = 40_000;
/** Part of the difference between the two that is taken to go on. */
const trendShare = 0.5;

type Average = {prompt: number; output: number};
type Averages = {readonly fast: Average; readonly slow: Average; at: number};

/** A forecast of tokens a second from two averages and the trend between them. */
export class Forecast {
	readonly #timers: TimerService;
	readonly #services = new Map<string, Averages>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Takes in the demand of this moment. */
	update(service: string, demand: TokenDemand): void {
		const now = this.#timers.getNow();
		const known = this.#services.get(service);
		if (!known) {
			this.#services.set(service, {fast: {...demand}, slow: {...demand}, at: now});
			return;
		}

		const elapsed = now - known.at;
		addSample(known.fast, demand, elapsed / fastMs);
		addSample(known.slow, demand, elapsed / slowMs);
		known.at = now;
	}

	/** Computes what is expected: with `haste` 1 the mix of now and its trend, with 0 that of the last minute. */
	compute(service: string, haste: number): TokenDemand {
		const known = this.#services.get(service);
		if (!known) {
			return {prompt: 0, output: 0};
		}

		return {
			prompt: computeExpected(known.fast.prompt, known.slow.prompt, haste),
			output: computeExpected(known.fast.output, known.slow.output, haste),
		};
	}
}

function addSample(average: Average, demand: TokenDemand, steps: number): void {
	const weight = 1 - Math.exp(-steps);
	average.prompt += (demand.prompt - average.prompt) * weight;
	average.output += (demand.output - average.output) * weight;
}

function computeExpected(fast: number, slow: number, haste: number): number {
	const trend = (fast - slow) * trendShare;
	return Math.max(0, (haste * (fast + trend)) + ((1 - haste) * slow));
}
