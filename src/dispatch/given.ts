import {DecayedSum} from '../rates/index.js';

/** Half-life of what is counted, in milliseconds: some hundred asks under overload. */
const halfLifeMs = 100;

/** Counts the asks of one kind and those that got a place. */
export class GivenPart {
	readonly #asks = new DecayedSum(halfLifeMs);
	readonly #given = new DecayedSum(halfLifeMs);

	/** Counts an ask that has ended. */
	onEnd(isGiven: boolean, now: number): void {
		this.#asks.add(1, now);
		this.#given.add(isGiven ? 1 : 0, now);
	}

	/** Computes the part of the last asks that got a place, 0 to 1. */
	compute(now: number): number {
		const asks = this.#asks.get(now);
		return asks > 0 ? this.#given.get(now) / asks : 1;
	}
}
