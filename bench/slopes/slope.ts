import {computeFit} from '../fit.js';
import type {LeastSquaresFit, Observation} from '../fit.js';

/** A quantity of one role, read at several sizes. */
export type Slope = {
	/** Which part of the system, such as `feed` or `router`. */
	readonly role: string;
	/** What is read, with its unit. */
	readonly quantity: string;
	/** What the size counts. */
	readonly sizeLabel: string;
	readonly sizes: readonly number[];
	/** Takes one reading. */
	readonly measure: (size: number) => Promise<number> | number;
	/** Readings at each size, of which the median counts; 1 where virtual time gives the same each time. */
	readonly repeats?: number;
};

/** A slope with its readings and the line through them. */
export type MeasuredSlope = Slope & {readonly observations: readonly Observation[]; readonly fit: LeastSquaresFit};

const defaultRepeats = 3;

/** Takes the readings of a slope: the median of three at each size, if it does not say otherwise. */
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

/** Formats slopes as a table in Markdown. */
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
