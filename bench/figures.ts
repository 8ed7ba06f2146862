import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Job} from './mix.js';

const microsecondsPerMs = 1000;
const halfMinuteMs = 30_000;

/** How one job ended, as the caller saw it; times in milliseconds at time scale 1. */
export type JobResult = {
	readonly job: Job;
	/** Why it was refused, if it was. */
	readonly refusal?: string;
	/** Whether the whole answer came by its deadline. */
	readonly isOnTime: boolean;
	readonly tokens: number;
	readonly firstTokenMs?: number;
	readonly gapsMs: readonly number[];
};

/** What a run measured. */
export type RunFigures = {
	readonly offered: number;
	readonly onTime: number;
	/** Whole answers on time a second. */
	readonly goodput: number;
	readonly goodputReading: number;
	readonly goodputWriting: number;
	readonly refusals: Readonly<Record<string, number>>;
	readonly retries: number;
	readonly roleChanges: number;
	/** Requests prefilled on another engine than the one that decoded. */
	readonly apart: number;
	/** Tokens generated for answers that were not on time, as a part of all. */
	readonly uselessShare: number;
	/** Answers on time of the worst caller as a part of what it asked for, against the mean of all callers. */
	readonly worstCaller: number;
	readonly firstTokenMs: Percentiles;
	readonly betweenTokensMs: Percentiles;
	/** Answers on time a second in each half minute. */
	readonly byHalfMinute: readonly number[];
	/** What the entries took, when they were processes of their own. */
	readonly entry?: EntryFigures;
};

/** What one entry took, as the mean over the entries. */
export type EntryFigures = {
	/** Part of one core. */
	readonly cpuShare: number;
	readonly megabytes: number;
	/** Bytes sent and received between entries. */
	readonly feedBytesPerSecond: number;
};

/** The 50th, 95th and 99th of 100. */
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

/** What a run counted besides its jobs. */
export type RunCounts = Pick<RunFigures, 'roleChanges' | 'retries' | 'apart'>;

/** Works out a run's figures from its jobs. */
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

/** Answers on time of the caller with the fewest, against an equal share: the least of what it asked for and the mean. */
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

/** Formats a run's figures as one line. */
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
