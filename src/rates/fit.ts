/** A straight line: `intercept + (slope * x)`. */
export type LinearModel = {readonly intercept: number; readonly slope: number};

/** Standard deviation of x, relative to its mean, below which a slope can't be determined. */
const minRelativeSpread = 0.2;

/** A straight line fitted to observations by least squares; earlier observations count less with each new one. */
export class LinearFit {
	readonly #decayFactor: number;
	#sumOfWeights = 0;
	#sumX = 0;
	#sumY = 0;
	#sumXx = 0;
	#sumXy = 0;
	#count = 0;

	/** Takes the share of their weight, 0 to 1, that earlier observations keep with each new one. */
	constructor(decayFactor: number) {
		this.#decayFactor = decayFactor;
	}

	/** Number of observations so far. */
	get count(): number {
		return this.#count;
	}

	/** Adds an observation. */
	add(x: number, y: number): void {
		this.#sumOfWeights = (this.#sumOfWeights * this.#decayFactor) + 1;
		this.#sumX = (this.#sumX * this.#decayFactor) + x;
		this.#sumY = (this.#sumY * this.#decayFactor) + y;
		this.#sumXx = (this.#sumXx * this.#decayFactor) + (x * x);
		this.#sumXy = (this.#sumXy * this.#decayFactor) + (x * y);
		this.#count++;
	}

	/** Returns the means of x and y. */
	getMeans(): {readonly x: number; readonly y: number} {
		return {x: this.#sumX / this.#sumOfWeights, y: this.#sumY / this.#sumOfWeights};
	}

	/** Computes the line, with no negative intercept or slope; `undefined` when x varies too little. */
	computeModel(): LinearModel | undefined {
		const {x, y} = this.getMeans();
		const variance = (this.#sumXx / this.#sumOfWeights) - (x * x);
		if (!(variance > (minRelativeSpread * x) ** 2)) {
			return undefined;
		}

		const slope = Math.max(0, ((this.#sumXy / this.#sumOfWeights) - (x * y)) / variance);
		const intercept = y - (slope * x);
		return intercept >= 0 ? {intercept, slope} : {intercept: 0, slope: y / x};
	}
}
