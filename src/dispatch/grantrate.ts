import {DecayedSum} from '../rates/index.js';

/** Half-life of the counts, in milliseconds: about a hundred reservation requests under overload. */
const halfLifeMs = 100;

/** Measures which share of the latest reservation requests of one kind was granted. */
export class GrantRate {
	readonly #requests = new DecayedSum(halfLifeMs);
	readonly #granted = new DecayedSum(halfLifeMs);

	/** Counts a reservation request that was granted or refused at `now`, in milliseconds. */
	onEnd(isGranted: boolean, now: number): void {
		this.#requests.add(1, now);
		this.#granted.add(isGranted ? 1 : 0, now);
	}

	/** Computes the grant rate at `now`, 0 to 1; 1 before the first request. */
	compute(now: number): number {
		const requests = this.#requests.get(now);
		return requests > 0 ? this.#granted.get(now) / requests : 1;
	}
}
