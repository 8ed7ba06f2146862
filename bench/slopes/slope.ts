import {computeFit} from '../fit.js';
import type {LeastSquaresFit, Observation} from '../fit.js';

/** A quantity of one part of the system that is measured at several sizes. */
export type Slope = {
	/** The part of the system, such as `feed` or `routing`. */
	readonly role: string;
	/** The measured quantity, with its unit. */
	readonly quantity: string;
	/** What the sizes count. */
	readonly sizeLabel: string;
	readonly sizes: readonly number[];
	/** Measures the quantity once at the given size. */
	readonly measure: (size: number) => Promise<number> | number;
	/** Number of measurements at each size, of which the median is taken; 3 if absent. 1 suffices where simulated time gives the same value each time. */
	readonly repeats?: number;
};

/** A slope with its observations and the line fitted to them. */
export type MeasuredSlope = Slope & {readonly observations: readonly Observation[]; readonly fit: LeastSquaresFit};

const defaultRepeats = 3;

/** Measures a slope at all of its sizes and fits a line to the medians. */
export async function measureSlope(slope: Slope): Promise<MeasuredSlope> {
	const observations: Observation[] = [];
	for (const size of slope.sizes) {
		observations.push({size, value: await measureMedian(slope, size)});
	}

	return {...slope, observations, fit: computeFit(observations)};
}

async function measureMedian({measure, repeats = defaultRepeats}: Slope, size: number): Promise<number> {
	const values: number[] = [];
	for (let index = 0; index < repeats; index++) {
		values.push(await measure(size));
	}

	return values.toSorted((left, right) => left - right)[Math.floor(repeats / 2)] ?? 0;
}

/** Formats slopes as a Markdown table. */
export function formatSlopes(slopes: readonly MeasuredSlope[]): string {
	const rows = slopes.map(slope => formatRow(slope));
	return [
		'| role | read | against | readings | at 0 | each | error |',
		'| --- | --- | --- | --- | --- | --- | --- |',
		...rows,
	].join('\n');
}

function formatRow({
	role, quantity, sizeLabel, observations, fit,
}: MeasuredSlope): string {
	const formattedObservations = observations.map(({size, value}) => `${size}: ${formatNumber(value)}`).join(', ');
	const error = `${(fit.relativeError * 100).toFixed(0)}%`;
	return `| ${[role, quantity, sizeLabel, formattedObservations, formatNumber(fit.intercept), formatNumber(fit.slope), error].join(' | ')} |`;
}

function formatNumber(value: number): string {
	return Number(value.toPrecision(3)).toString();
}
