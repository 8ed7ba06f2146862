/** One measured value and the size at which it was measured. */
export type Observation = {readonly size: number; readonly value: number};

/** A straight line fitted to observations by least squares. */
export type LeastSquaresFit = {
	/** Value of the line at size 0. */
	readonly intercept: number;
	/** Change of the value per unit of size. */
	readonly slope: number;
	/** Largest distance of an observation from the line, divided by the largest absolute value observed. */
	readonly relativeError: number;
};

/** Fits a line to observations of at least two different sizes. */
export function computeFit(observations: readonly Observation[]): LeastSquaresFit {
	const count = observations.length;
	const meanSize = observations.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = observations.reduce((sum, {value}) => sum + value, 0) / count;
	const sizeVariation = observations.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = observations.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0) / sizeVariation;
	const intercept = meanValue - (slope * meanSize);
	const largestValue = Math.max(...observations.map(({value}) => Math.abs(value)));
	const relativeError = Math.max(...observations.map(({size, value}) => Math.abs(value - intercept - (slope * size)))) / largestValue;
	return {intercept, slope, relativeError};
}
