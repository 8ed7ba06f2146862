import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 3000;
const recomputeMs = 250;
const longestTable = 8192;
/** Growth of the capacity taken for given, at each recomputation without a refusal. */
const growth = 1.05;
/** Refusals in a recomputation's time, as a part of the requests, that count as overload. */
const overloadShare = 0.02;

/**
Equal shares under overload: when work has to be refused, callers who ask for more than their equal share of what gets
through are refused first, with the chance that brings them down to it. Costs are in milliseconds of an engine.
*/
export class FairShares {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #offered = new Map<string, DecayedSum>();
	readonly #admitted = new DecayedSum(halfLifeMs);
	#capacity = Number.POSITIVE_INFINITY;
	#share = Number.POSITIVE_INFINITY;
	#requests = 0;
	#refused = 0;
	#computedAt = 0;

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	/** The equal share at this time, in cost a second; endless when there is enough for all. */
	get share(): number {
		return this.#share;
	}

	/** Says whether a caller's request may go on to admission; counts it as offered. */
	tryPass(caller: string, cost: number): boolean {
		const now = this.#timers.getNow();
		const offered = this.#offered.get(caller) ?? new DecayedSum(halfLifeMs);
		offered.add(cost, now);
		this.#offered.delete(caller);
		this.#offered.set(caller, offered);
		if (this.#offered.size > longestTable) {
			this.#offered.delete(this.#offered.keys().next().value!);
		}

		this.#requests++;
		if (now - this.#computedAt >= recomputeMs) {
			this.#updateShare(now);
		}

		return this.#random.pickUnit() * offered.computeRate(now) <= this.#share;
	}

	/** Counts a request that was admitted. */
	onAdmitted(cost: number): void {
		this.#admitted.add(cost, this.#timers.getNow());
	}

	/** Counts a request that passed here and was then refused for want of capacity. */
	onRefused(): void {
		this.#refused++;
	}

	#updateShare(now: number): void {
		if (this.#refused > this.#requests * overloadShare) {
			this.#capacity = Math.min(this.#capacity, Math.max(this.#admitted.computeRate(now), 1));
		} else {
			this.#capacity *= growth;
		}

		const rates = [...this.#offered.values()].map(offered => offered.computeRate(now)).filter(rate => rate > 0);
		this.#share = computeEqualShare(rates, this.#capacity);
		if (this.#share === Number.POSITIVE_INFINITY) {
			this.#capacity = Number.POSITIVE_INFINITY;
		}

		this.#requests = 0;
		this.#refused = 0;
		this.#computedAt = now;
	}
}

/** Finds the share such that callers, each held to it, ask for `capacity` together. */
function computeEqualShare(rates: readonly number[], capacity: number): number {
	let left = capacity;
	const sorted = rates.toSorted((first, second) => first - second);
	for (const [index, rate] of sorted.entries()) {
		const share = left / (sorted.length - index);
		if (rate > share) {
			return share;
		}

		left -= rate;
	}

	return Number.POSITIVE_INFINITY;
}
