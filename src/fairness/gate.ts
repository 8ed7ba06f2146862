import type {CallerLimits} from '../deployment/index.js';
import type {CallerLimiter, LimitVerdict} from './limiter.js';
import type {FairShares} from './shares.js';

/** What a gate is made of. */
export type GateParts = {
	readonly limiter: CallerLimiter;
	readonly shares: FairShares;
	readonly getLimits: () => CallerLimits | undefined;
	/** Part of the limits that this entry gives out, 0 to 1. */
	readonly getLocalShare: () => number;
};

/** Limits and equal shares of callers, as the router asks for them. */
export class CallerGate {
	readonly #parts: GateParts;

	constructor(parts: GateParts) {
		this.#parts = parts;
	}

	/** Takes a request of `tokens` tokens from the caller's limits. */
	tryTake(caller: string, tokens: number): LimitVerdict {
		const limits = this.#parts.getLimits();
		return limits ? this.#parts.limiter.tryTake(caller, tokens, limits, this.#parts.getLocalShare()) : {isWithin: true, waitMs: 0};
	}

	/** Says whether the caller's request, of `cost` milliseconds of an engine, is within its equal share. */
	tryPass(caller: string, cost: number): boolean {
		return this.#parts.shares.tryPass(caller, cost);
	}

	/** Counts a request refused for want of capacity. */
	onRefused(): void {
		this.#parts.shares.onRefused();
	}
}
