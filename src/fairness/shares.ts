import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 3000;
const updateIntervalMs = 250;
const maxCallers = 8192;
/**
Part of the requests that admission refuses under overload. It is not brought to nothing, so that the shares never
keep work from engines that could take it.
*/
const targetRefusedShare = 0.15;
const stepFactor = 1.08;
/** Requests that a step looks at, at the least. */
const minRequestsPerUpdate = 8;

/**
Equal shares under overload: while admission refuses much of what passes here, the share that a caller may ask for
sinks, and whoever asks for more is refused first, with the chance that brings it down to the share; otherwise the
share rises until it binds nobody. Costs are in milliseconds of an engine.
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

	/** The equal share at this time, in cost a second; endless when there is enough for all. */
	get equalShare(): number {
		return this.#equalShare;
	}

	/** Says whether a caller's request may go on to admission; counts it as offered. */
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

	/** Counts a request that passed here and was then refused for want of capacity. */
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
