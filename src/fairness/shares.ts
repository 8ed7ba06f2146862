import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** Half-life of a caller's offered cost, in milliseconds. */
const halfLifeMs = 3000;
const updateIntervalMs = 250;
/** Maximum number of callers that are remembered. */
const maxCallers = 8192;
/**
Share of the requests that admission still refuses under overload. It is above 0, so that the equal shares never keep
requests from engines that could take them.
*/
const targetRefusedShare = 0.15;
/** Factor by which the equal share changes at each update. */
const stepFactor = 1.08;
/** Minimum number of requests that passed since the last update. */
const minRequestsPerUpdate = 8;

/**
Equal shares among callers under overload. While admission refuses many of the requests that passed here, the equal share
decreases; otherwise it increases until it limits nobody. A caller that offers more than the equal share is refused at
random, so that on average its share passes. Costs are in milliseconds of an engine.
*/
export class FairShares {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #offeredByCaller = new Map<string, DecayedSum>();
	#equalShare = Number.POSITIVE_INFINITY;
	#passed = 0;
	#refused = 0;
	#updatedAt = 0;

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	/** The equal share now, as cost per second; infinite when there is enough for all. */
	get equalShare(): number {
		return this.#equalShare;
	}

	/** Tells whether a caller's request may go on to admission; counts it as offered. */
	tryPass(caller: string, costMs: number): boolean {
		const now = this.#timers.getNow();
		const offered = this.#offeredByCaller.get(caller) ?? new DecayedSum(halfLifeMs);
		offered.add(costMs, now);
		this.#offeredByCaller.delete(caller);
		this.#offeredByCaller.set(caller, offered);
		if (this.#offeredByCaller.size > maxCallers) {
			this.#offeredByCaller.delete(this.#offeredByCaller.keys().next().value!);
		}

		if (now - this.#updatedAt >= updateIntervalMs && this.#passed >= minRequestsPerUpdate) {
			this.#updateEqualShare(now);
		}

		const isPassing = this.#random.getRandom() * offered.computeRate(now) <= this.#equalShare;
		this.#passed += isPassing ? 1 : 0;
		return isPassing;
	}

	/** Records that a request that passed was refused for lack of capacity. */
	onRefused(): void {
		this.#refused++;
	}

	#updateEqualShare(now: number): void {
		const rates = [...this.#offeredByCaller.values()].map(offered => offered.computeRate(now));
		const highestRate = Math.max(...rates);
		const isOverloaded = this.#refused > this.#passed * targetRefusedShare;
		const equalShare = Math.min(this.#equalShare, highestRate) * (isOverloaded ? 1 / stepFactor : stepFactor);
		this.#equalShare = equalShare > highestRate ? Number.POSITIVE_INFINITY : equalShare;
		this.#passed = 0;
		this.#refused = 0;
		this.#updatedAt = now;
	}
}
