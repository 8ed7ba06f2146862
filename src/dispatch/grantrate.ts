import {DecayedSum} from '../rates/index.js';

/** Half-life of what is counted, in milliseconds: some hundred asks under overload. */
const halfLifeMs = 100;

/** Counts the asks of one kind and those that got a place. */
export class GrantRate {
	readonly #requests = new DecayedSum(halfLifeMs);
	readonly #granted = new DecayedSum(halfLifeMs);

	/** Counts an ask that has ended. */
	onEnd(isGranted: boolean, now: number): void {
		this.#requests.add(1, now);
		this.#granted.add(isGranted ? 1 : 0, now);
	}

	/** Computes the part of the last asks that got a place, 0 to 1. */
	compute(now: number): number {
		const requests = this.#requests.get(now);
		return requests > 0 ? this.#granted.get(now) / requests : 1;
	}
}
