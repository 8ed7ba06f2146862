import type {RandomSource} from '../rates/index.js';

/** A candidate and its cost; a lower cost is better. */
export type ScoredCandidate<Candidate> = {readonly candidate: Candidate; readonly cost: number};

/** Selects one of several candidates whose costs are only roughly known. */
export abstract class SelectionStrategy {
	/** Selects a candidate; `scored` must not be empty. */
	abstract select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate>;
}

/** Selects the candidate with the lowest cost. Entries that decide by the same outdated load report all select the same one. */
export class LowestCostSelection extends SelectionStrategy {
	select<Candidate>(scored: ReadonlyArray<ScoredCandidate<Candidate>>): ScoredCandidate<Candidate> {
		let [best] = scored;
		for (const other of scored) {
			best = best === undefined || other.cost < best.cost ? other : best;
		}

		return best!;
	}
}

/** Selects the cheaper of two candidates picked at random. */
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

/**
Costs that differ by less than `similarCostMs` plus this share of the lowest cost count as similar: at this difference, the
more expensive candidate is about a third as likely to be selected as the cheapest.
*/
const similarCostShare = 0.1;
/** See `similarCostShare`, in milliseconds. */
const similarCostMs = 15;

/** Selects at random. A cheaper candidate is more likely; one that costs much more than the cheapest is hardly ever selected. */
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
