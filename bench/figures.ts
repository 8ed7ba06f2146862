import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Job} from './mix.js';

const microsecondsPerMs = 1000;
const halfMinuteMs = 30_000;

/** Result of one job as the caller observed it; times in milliseconds, converted to time scale 1. */
export type JobResult = {
	readonly job: Job;
	/** Reason of the refusal, or `broken` or `error` if it failed without one; absent otherwise. */
	readonly refusal?: string;
	/** Whether the whole answer arrived before its deadline. */
	readonly isOnTime: boolean;
	/** Number of tokens received. */
	readonly tokens: number;
	/** Time from the request to the first token; absent if none arrived. */
	readonly firstTokenMs?: number;
	/** Times between consecutive tokens. */
	readonly gapsMs: readonly number[];
};

/** Measurements of one run. The field names are written to the files in bench/results. */
export type RunFigures = {
	/** Number of jobs sent. */
	readonly offered: number;
	/** Number of jobs whose whole answer arrived before the deadline. */
	readonly onTime: number;
	/** Whole answers on time per second. */
	readonly goodput: number;
	/** Goodput of prefill-heavy jobs. */
	readonly goodputReading: number;
	/** Goodput of decode-heavy jobs. */
	readonly goodputWriting: number;
	/** Number of refusals by reason. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly retries: number;
	readonly roleChanges: number;
	/** Number of placements that prefill on another engine than the one that decodes; a run over real processes reports 0. */
	readonly apart: number;
	/** Tokens received for answers that were not on time, as a share of all tokens received, 0 to 1. */
	readonly uselessShare: number;
	/** Lowest ratio, over all callers, of answers on time to the smaller of the caller's jobs and the mean of answers on time per caller; at most 1. */
	readonly worstCaller: number;
	readonly firstTokenMs: Percentiles;
	readonly betweenTokensMs: Percentiles;
	/** Goodput of the jobs sent in each half minute of the run, rounded to 0.1. */
	readonly byHalfMinute: readonly number[];
	/** Resources used by the entries; only in runs where entries are processes of their own. */
	readonly entry?: EntryFigures;
};

/** Resources used by an entry, as the mean over all entries. */
export type EntryFigures = {
	/** Share of one core, 0 to 1; above 1 if an entry uses more than one core. */
	readonly cpuShare: number;
	/** Resident memory. */
	readonly megabytes: number;
	/** Bytes per second that the gossip between entries sends and receives. */
	readonly feedBytesPerSecond: number;
};

/** The 50th, 95th and 99th percentile. */
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

/** Counters of a run that do not follow from the results of its jobs. */
export type RunCounts = Pick<RunFigures, 'roleChanges' | 'retries' | 'apart'>;

/** Computes the figures of a run from the results of its jobs. */
export function computeFigures(results: readonly JobResult[], seconds: number, {roleChanges, retries, apart}: RunCounts): RunFigures {
	const onTime = results.filter(result => result.isOnTime);
	const firstTokenTimes = build();
	const tokenGaps = build();
	const refusals: Record<string, number> = {};
	let tokens = 0;
	let uselessTokens = 0;
	for (const result of results) {
		tokens += result.tokens;
		uselessTokens += result.isOnTime ? 0 : result.tokens;
		if (result.refusal !== undefined) {
			refusals[result.refusal] = (refusals[result.refusal] ?? 0) + 1;
		}

		if (result.firstTokenMs !== undefined) {
			firstTokenTimes.recordValue(Math.max(1, Math.round(result.firstTokenMs * microsecondsPerMs)));
		}

		for (const gap of result.gapsMs) {
			tokenGaps.recordValue(Math.max(1, Math.round(gap * microsecondsPerMs)));
		}
	}

	return {
		offered: results.length,
		onTime: onTime.length,
		goodput: onTime.length / seconds,
		goodputReading: onTime.filter(result => result.job.isPrefillHeavy).length / seconds,
		goodputWriting: onTime.filter(result => !result.job.isPrefillHeavy).length / seconds,
		refusals,
		retries,
		roleChanges,
		apart,
		uselessShare: tokens > 0 ? uselessTokens / tokens : 0,
		worstCaller: computeWorstCaller(results),
		firstTokenMs: getPercentiles(firstTokenTimes),
		betweenTokensMs: getPercentiles(tokenGaps),
		byHalfMinute: computeGoodputByHalfMinute(onTime),
	};
}

function computeGoodputByHalfMinute(onTime: readonly JobResult[]): number[] {
	const counts: number[] = [];
	for (const {job} of onTime) {
		const index = Math.floor(job.sendAtMs / halfMinuteMs);
		counts[index] = (counts[index] ?? 0) + 1;
	}

	return [...counts].map(count => Math.round((count ?? 0) * 10_000 / halfMinuteMs) / 10);
}

/**
Computes how well the worst-served caller fared: its answers on time, divided by its fair share.
The fair share is the mean of answers on time per caller, or the caller's number of jobs if that is smaller.
*/
function computeWorstCaller(results: readonly JobResult[]): number {
	const callers = new Map<string, {offered: number; onTime: number}>();
	for (const {job, isOnTime} of results) {
		const caller = callers.get(job.caller) ?? {offered: 0, onTime: 0};
		caller.offered++;
		caller.onTime += isOnTime ? 1 : 0;
		callers.set(job.caller, caller);
	}

	const all = [...callers.values()];
	let sum = 0;
	for (const {onTime} of all) {
		sum += onTime;
	}

	const equalShare = sum / Math.max(1, all.length);
	return Math.min(1, ...all.map(({offered, onTime}) => onTime / Math.max(1, Math.min(offered, equalShare))));
}

function getPercentiles(histogram: Histogram): Percentiles {
	const readPercentile = (percentile: number) => histogram.totalCount > 0 ? histogram.getValueAtPercentile(percentile) / microsecondsPerMs : 0;
	return {p50: readPercentile(50), p95: readPercentile(95), p99: readPercentile(99)};
}

/** Formats the figures of a run as one line. */
export function formatFigures(figures: RunFigures): string {
	const {firstTokenMs: first, betweenTokensMs: between} = figures;
	return [
		`goodput ${figures.goodput.toFixed(2)} (reading ${figures.goodputReading.toFixed(2)} writing ${figures.goodputWriting.toFixed(2)}) of ${figures.offered}`,
		`changes ${figures.roleChanges} apart ${figures.apart} retries ${figures.retries}`,
		`useless ${figures.uselessShare.toFixed(3)} worst caller ${figures.worstCaller.toFixed(2)}`,
		`first ${formatPercentiles(first)} between ${formatPercentiles(between)}`,
		JSON.stringify(figures.refusals),
		`by half minute ${figures.byHalfMinute.join(' ')}`,
	].join('  ');
}

function formatPercentiles({p50, p95, p99}: Percentiles): string {
	return `${p50.toFixed(0)}/${p95.toFixed(0)}/${p99.toFixed(0)}`;
}
