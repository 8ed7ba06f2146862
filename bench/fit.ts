/** One reading: the size it was taken at and the value read. */
export type Observation = {readonly size: number; readonly value: number};

/** A straight line through readings, by least squares. */
export type LeastSquaresFit = {
	/** Value at size 0. */
	readonly intercept: number;
	/** Value for each unit of size. */
	readonly slope: number;
	/** Largest distance of a reading from the line, as a part of the largest reading. */
	readonly relativeError: number;
};

/** Computes the line that fits the readings best; needs two different sizes. */
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
