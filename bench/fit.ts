/** One reading: the size it was taken at and the value read. */
export type Reading = {readonly size: number; readonly value: number};

/** A straight line through readings, by least squares. */
export type Fit = {
	/** Value at size 0. */
	readonly base: number;
	/** Value for each unit of size. */
	readonly slope: number;
	/** Largest distance of a reading from the line, as a part of the largest reading. */
	readonly error: number;
};

/** Computes the line that fits the readings best; needs two different sizes. */
export function computeFit(readings: readonly Reading[]): Fit {
	const count = readings.length;
	const meanSize = readings.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = readings.reduce((sum, {value}) => sum + value, 0) / count;
	const spread = readings.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = readings.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0) / spread;
	const base = meanValue - (slope * meanSize);
	const largest = Math.max(...readings.map(({value}) => Math.abs(value)));
	const error = Math.max(...readings.map(({size, value}) => Math.abs(value - base - (slope * size)))) / largest;
	return {base, slope, error};
}
