import type {CallerLimits} from '../deployment/index.js';
import type {CallerLimiter, LimitDecision} from './limiter.js';
import type {FairShares} from './shares.js';

/** What a gate is made of. */
export type CallerGateDependencies = {
	readonly limiter: CallerLimiter;
	readonly shares: FairShares;
	readonly getLimits: () => CallerLimits | undefined;
	/** Part of the limits that this entry gives out, 0 to 1. */
	readonly getLocalShare: () => number;
};

/** Limits and equal shares of callers, as the router asks for them. */
export class CallerGate {
	readonly #dependencies: CallerGateDependencies;

	constructor(dependencies: CallerGateDependencies) {
		this.#dependencies = dependencies;
	}

	/** Takes a request of `tokens` tokens from the caller's limits. */
	tryTake(caller: string, tokens: number): LimitDecision {
		const limits = this.#dependencies.getLimits();
		return limits ? this.#dependencies.limiter.tryTake(caller, tokens, limits, this.#dependencies.getLocalShare()) : {isWithinLimits: true, waitMs: 0};
	}

	/** Says whether the caller's request, of `cost` milliseconds of an engine, is within its equal share. */
	tryPass(caller: string, costMs: number): boolean {
		return this.#dependencies.shares.tryPass(caller, costMs);
	}

	/** Counts a request refused for want of capacity. */
	onRefused(): void {
		this.#dependencies.shares.onRefused();
	}
}
