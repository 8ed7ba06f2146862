import type {RandomSource} from '../rates/index.js';

/** A candidate and its cost: the lower the better. */
export type Scored<Candidate> = {readonly candidate: Candidate; readonly cost: number};

/** Chooses among candidates whose costs are only roughly known. */
export abstract class Choice {
	/** Chooses one; `scored` has at least one. */
	abstract choose<Candidate>(scored: ReadonlyArray<Scored<Candidate>>): Scored<Candidate>;
}

/** Always the cheapest: entries with the same old report all choose the same. */
export class CheapestChoice extends Choice {
	choose<Candidate>(scored: ReadonlyArray<Scored<Candidate>>): Scored<Candidate> {
		let [best] = scored;
		for (const other of scored) {
			best = best === undefined || other.cost < best.cost ? other : best;
		}

		return best!;
	}
}

/** The cheaper of two picked at random. */
export class TwoChoices extends Choice {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		super();
		this.#random = random;
	}

	choose<Candidate>(scored: ReadonlyArray<Scored<Candidate>>): Scored<Candidate> {
		const first = this.#random.pickIndex(scored.length);
		const other = scored.length < 2 ? first : (first + 1 + this.#random.pickIndex(scored.length - 1)) % scored.length;
		return scored[first]!.cost <= scored[other]!.cost ? scored[first]! : scored[other]!;
	}
}

/** Part of the cheapest cost, and a time in milliseconds, within which costs count as much alike. */
const alikeShare = 0.1;
const alikeMs = 15;

/** Picks at random, the more likely the cheaper; only those nearly as cheap as the cheapest have a chance. */
export class WeightedChoice extends Choice {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		super();
		this.#random = random;
	}

	choose<Candidate>(scored: ReadonlyArray<Scored<Candidate>>): Scored<Candidate> {
		const cheapest = Math.min(...scored.map(({cost}) => cost));
		const scale = alikeMs + (alikeShare * Math.max(0, cheapest));
		const weights = scored.map(({cost}) => Math.exp((cheapest - cost) / scale));
		let rest = this.#random.getRandom() * weights.reduce((sum, weight) => sum + weight, 0);
		for (const [index, weight] of weights.entries()) {
			rest -= weight;
			if (rest <= 0) {
				return scored[index]!;
			}
		}

		return scored.at(-1)!;
	}
}
