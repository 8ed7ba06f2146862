import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudorandom numbers: the same seed gives the same numbers. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniform random number in [0, 1). */
	getRandom(): number {
		return uniformFloat64(this.#generator);
	}

	/** Picks a uniform random number in [`low`, `high`). */
	pickBetween(low: number, high: number): number {
		return low + ((high - low) * this.getRandom());
	}

	/** Picks a uniform random integer from 0 to `size - 1`. */
	pickIndex(size: number): number {
		return Math.floor(this.getRandom() * size);
	}
}
