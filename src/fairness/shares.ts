import {DecayedSum} from '../rates/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 3000;
const updatePeriodMs = 250;
const longestTable = 8192;
/**
Part of the requests that admission refuses under overload. It is not brought to nothing, so that the shares never
keep work from engines that could take it.
*/
const refusedShare = 0.15;
const stepFactor = 1.08;
/** Requests that a step looks at, at the least. */
const fewestRequests = 8;

/**
Equal shares under overload: while admission refuses much of what passes here, the share that a caller may ask for
sinks, and whoever asks for more is refused first, with the chance that brings it down to the share; otherwise the
share rises until it binds nobody. Costs are in milliseconds of an engine.
*/
export class FairShares {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #offered = new Map<string, DecayedSum>();
	#share = Number.POSITIVE_INFINITY;
	#passed = 0;
	#refused = 0;
	#updatedAt = 0;

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

		if (now - this.#updatedAt >= updatePeriodMs && this.#passed >= fewestRequests) {
			this.#updateShare(now);
		}

		const isPassing = this.#random.getRandom() * offered.computeRate(now) <= this.#share;
		this.#passed += isPassing ? 1 : 0;
		return isPassing;
	}

	/** Counts a request that passed here and was then refused for want of capacity. */
	onRefused(): void {
		this.#refused++;
	}

	#updateShare(now: number): void {
		const rates = [...this.#offered.values()].map(offered => offered.computeRate(now));
		const highest = Math.max(...rates);
		const isOver = this.#refused > this.#passed * refusedShare;
		const share = Math.min(this.#share, highest) * (isOver ? 1 / stepFactor : stepFactor);
		this.#share = share > highest ? Number.POSITIVE_INFINITY : share;
		this.#passed = 0;
		this.#refused = 0;
		this.#updatedAt = now;
	}
}
