/** A straight line: `base + (slope * x)`. */
export type Line = {readonly base: number; readonly slope: number};

/** Spread of x, as a part of its mean, below which a slope can't be told. */
const leastSpread = 0.2;

/** A straight line through observations, of which earlier ones count less with each new one. */
export class LineFit {
	readonly #kept: number;
	#weight = 0;
	#x = 0;
	#y = 0;
	#xx = 0;
	#xy = 0;
	#count = 0;

	/** Takes the part of their weight, 0 to 1, that earlier observations keep with each new one. */
	constructor(kept: number) {
		this.#kept = kept;
	}

	/** Number of observations so far. */
	get count(): number {
		return this.#count;
	}

	/** Adds an observation. */
	add(x: number, y: number): void {
		this.#weight = (this.#weight * this.#kept) + 1;
		this.#x = (this.#x * this.#kept) + x;
		this.#y = (this.#y * this.#kept) + y;
		this.#xx = (this.#xx * this.#kept) + (x * x);
		this.#xy = (this.#xy * this.#kept) + (x * y);
		this.#count++;
	}

	/** Returns the means of x and y. */
	getMeans(): {readonly x: number; readonly y: number} {
		return {x: this.#x / this.#weight, y: this.#y / this.#weight};
	}

	/** Computes the line with neither part below nothing; `undefined` where x hardly differs. */
	computeLine(): Line | undefined {
		const {x, y} = this.getMeans();
		const variance = (this.#xx / this.#weight) - (x * x);
		if (!(variance > (leastSpread * x) ** 2)) {
			return undefined;
		}

		const slope = Math.max(0, ((this.#xy / this.#weight) - (x * y)) / variance);
		const base = y - (slope * x);
		return base >= 0 ? {base, slope} : {base: 0, slope: y / x};
	}
}
