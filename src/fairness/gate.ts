import type {CallerLimits} from '../deployment/index.js';
import type {CallerLimiter, LimitDecision} from './limiter.js';
import type {FairShares} from './shares.js';

/** What a caller gate uses. */
export type CallerGateDependencies = {
	readonly limiter: CallerLimiter;
	readonly shares: FairShares;
	/** Returns the limits of each caller; `undefined` when there are none. */
	readonly getLimits: () => CallerLimits | undefined;
	/** Returns the share of the limits that this entry grants, 0 to 1. */
	readonly getLocalShare: () => number;
};

/** Checks callers' requests against their limits and equal shares. */
export class CallerGate {
	readonly #dependencies: CallerGateDependencies;

	constructor(dependencies: CallerGateDependencies) {
		this.#dependencies = dependencies;
	}

	/** Takes a request of `tokens` tokens from the caller's limits, if it is within them. */
	tryTake(caller: string, tokens: number): LimitDecision {
		const limits = this.#dependencies.getLimits();
		return limits ? this.#dependencies.limiter.tryTake(caller, tokens, limits, this.#dependencies.getLocalShare()) : {isWithinLimits: true, waitMs: 0};
	}

	/** Tells whether a caller's request, which takes `costMs` milliseconds of an engine, may go on to admission by its equal share; counts it as offered. */
	tryPass(caller: string, costMs: number): boolean {
		return this.#dependencies.shares.tryPass(caller, costMs);
	}

	/** Records that a request that passed was refused for lack of capacity. */
	onRefused(): void {
		this.#dependencies.shares.onRefused();
	}
}
