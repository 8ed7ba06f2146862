/** A plane: `intercept + (first * x1) + (second * x2)`. */
export type PlaneModel = {readonly intercept: number; readonly first: number; readonly second: number};

/** Determinant of the normalized equations below which x1 and x2 vary too little, or too much alike, to tell their slopes apart. */
const minDeterminant = 0.02;

/** A plane fitted to observations by least squares; earlier observations count less with each new one. */
export class PlaneFit {
	readonly #decayFactor: number;
	#sumOfWeights = 0;
	#sum1 = 0;
	#sum2 = 0;
	#sumY = 0;
	#sum11 = 0;
	#sum12 = 0;
	#sum22 = 0;
	#sum1Y = 0;
	#sum2Y = 0;

	/** Takes the share of their weight, 0 to 1, that earlier observations keep with each new one. */
	constructor(decayFactor: number) {
		this.#decayFactor = decayFactor;
	}

	/** Adds an observation. */
	add(x1: number, x2: number, y: number): void {
		const keep = this.#decayFactor;
		this.#sumOfWeights = (this.#sumOfWeights * keep) + 1;
		this.#sum1 = (this.#sum1 * keep) + x1;
		this.#sum2 = (this.#sum2 * keep) + x2;
		this.#sumY = (this.#sumY * keep) + y;
		this.#sum11 = (this.#sum11 * keep) + (x1 * x1);
		this.#sum12 = (this.#sum12 * keep) + (x1 * x2);
		this.#sum22 = (this.#sum22 * keep) + (x2 * x2);
		this.#sum1Y = (this.#sum1Y * keep) + (x1 * y);
		this.#sum2Y = (this.#sum2Y * keep) + (x2 * y);
	}

	/** Computes the plane; `undefined` when the slopes can't be told apart, or the plane falls or begins below zero. */
	computeModel(): PlaneModel | undefined {
		const weight = this.#sumOfWeights;
		const [mean1, mean2, meanY] = [this.#sum1 / weight, this.#sum2 / weight, this.#sumY / weight];
		const variance1 = (this.#sum11 / weight) - (mean1 * mean1);
		const variance2 = (this.#sum22 / weight) - (mean2 * mean2);
		const covariance = (this.#sum12 / weight) - (mean1 * mean2);
		const covariance1Y = (this.#sum1Y / weight) - (mean1 * meanY);
		const covariance2Y = (this.#sum2Y / weight) - (mean2 * meanY);
		const determinant = (variance1 * variance2) - (covariance * covariance);
		if (!(determinant > variance1 * variance2 * minDeterminant)) {
			return undefined;
		}

		const first = ((covariance1Y * variance2) - (covariance2Y * covariance)) / determinant;
		const second = ((covariance2Y * variance1) - (covariance1Y * covariance)) / determinant;
		const intercept = meanY - (first * mean1) - (second * mean2);
		return first > 0 && second >= 0 && intercept >= 0 ? {intercept, first, second} : undefined;
	}
}
