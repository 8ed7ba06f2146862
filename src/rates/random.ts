import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Randomness from a seed: the same seed gives the same decisions. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Picks a number from 0 up to, and without, 1. */
	getRandom(): number {
		return uniformFloat64(this.#generator);
	}

	/** Picks a number between `low` and `high`. */
	pickBetween(low: number, high: number): number {
		return low + ((high - low) * this.getRandom());
	}

	/** Picks an index below `size`. */
	pickIndex(size: number): number {
		return Math.floor(this.getRandom() * size);
	}
}
