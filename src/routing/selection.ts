import type {RandomSource} from '../rates/index.js';

/** A candidate and its cost: the lower the better. */
export type ScoredCandidate<Candidate> = {readonly candidate: Candidate; readonly cost: number};

/** Chooses among candidates whose costs are only roughly known. */
export abstract class SelectionStrategy {
	/** Chooses one; `scored` has at least one. */
	abstract select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate>;
}

/** Always the cheapest: entries with the same old report all choose the same. */
export class LowestCostSelection extends SelectionStrategy {
	select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate> {
		let [best] = scored;
		for (const other of scored) {
			best = best === undefined || other.cost < best.cost ? other : best;
		}

		return best!;
	}
}

/** The cheaper of two picked at random. */
export class TwoChoicesSelection extends SelectionStrategy {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		super();
		this.#random = random;
	}

	select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate> {
		const first = this.#random.pickIndex(scored.length);
		const second = scored.length < 2 ? first : (first + 1 + this.#random.pickIndex(scored.length - 1)) % scored.length;
		return scored[first]!.cost <= scored[second]!.cost ? scored[first]! : scored[second]!;
	}
}

/** Part of the cheapest cost, and a time in milliseconds, within which costs count as much alike. */
const similarCostShare = 0.1;
const similarCostMs = 15;

/** Picks at random, the more likely the cheaper; only those nearly as cheap as the cheapest have a chance. */
export class WeightedSelection extends SelectionStrategy {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		super();
		this.#random = random;
	}

	select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate> {
		const cheapest = Math.min(...scored.map(({cost}) => cost));
		const scale = similarCostMs + (similarCostShare * Math.max(0, cheapest));
		const weights = scored.map(({cost}) => Math.exp((cheapest - cost) / scale));
		let remaining = this.#random.getRandom() * weights.reduce((sum, weight) => sum + weight, 0);
		for (const [index, weight] of weights.entries()) {
			remaining -= weight;
			if (remaining <= 0) {
				return scored[index]!;
			}
		}

		return scored.at(-1)!;
	}
}
