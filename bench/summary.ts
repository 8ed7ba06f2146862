import type {RunFigures} from './figures.js';

type Run = RunFigures & {readonly policy: string; readonly seed: number; readonly loadAverage: number};

const columns: ReadonlyArray<{readonly title: string; readonly read: (run: Run) => number; readonly digits: number}> = [
	{title: 'goodput /s', read: run => run.goodput, digits: 2},
	{title: 'offered', read: run => run.offered, digits: 0},
	{title: 'role changes', read: run => run.roleChanges, digits: 1},
	{title: 'first p50 ms', read: run => run.firstTokenMs.p50, digits: 0},
	{title: 'first p95 ms', read: run => run.firstTokenMs.p95, digits: 0},
	{title: 'first p99 ms', read: run => run.firstTokenMs.p99, digits: 0},
	{title: 'between p50 ms', read: run => run.betweenTokensMs.p50, digits: 0},
	{title: 'between p95 ms', read: run => run.betweenTokensMs.p95, digits: 0},
	{title: 'between p99 ms', read: run => run.betweenTokensMs.p99, digits: 0},
	{title: 'useless tokens', read: run => run.uselessShare, digits: 3},
	{title: 'worst caller', read: run => run.worstCaller, digits: 2},
	{title: 'entry CPU %', read: run => (run.entry?.cpuShare ?? 0) * 100, digits: 0},
	{title: 'entry MB', read: run => run.entry?.megabytes ?? 0, digits: 0},
	{title: 'feed B/s', read: run => run.entry?.feedBytesPerSecond ?? 0, digits: 0},
	{title: 'load average', read: run => run.loadAverage, digits: 1},
];

/** Formats runs as a Markdown table with a row for each policy: the mean over its seeds, with minimum and maximum. */
export function formatSummary(title: string, runs: readonly Run[]): string {
	const rows = [...new Set(runs.map(run => run.policy))].map(policy => {
		const policyRuns = runs.filter(run => run.policy === policy);
		return `| ${policy} | ${policyRuns.length} | ${columns.map(({read, digits}) => formatSpread(policyRuns.map(run => read(run)), digits)).join(' | ')} | ${formatReasons(policyRuns)} |`;
	});
	return [
		`# ${title}`,
		'',
		'Mean over the seeds (least to most). Times of engines are given at time scale 1.',
		'',
		`| policy | runs | ${columns.map(({title}) => title).join(' | ')} | refusals by reason, retries |`,
		`| --- | ${columns.map(() => '---').join(' | ')} | --- | --- |`,
		...rows,
		'',
	].join('\n');
}

function formatSpread(values: readonly number[], digits: number): string {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	const mean = (sum / Math.max(1, values.length)).toFixed(digits);
	return values.length < 2 ? mean : `${mean} (${Math.min(...values).toFixed(digits)} to ${Math.max(...values).toFixed(digits)})`;
}

function formatReasons(runs: readonly Run[]): string {
	const sums = new Map<string, number>();
	for (const run of runs) {
		for (const [reason, count] of [...Object.entries(run.refusals), ['retries', run.retries] as const]) {
			sums.set(reason, (sums.get(reason) ?? 0) + count);
		}
	}

	return [...sums].map(([reason, sum]) => `${reason} ${sum}`).join(', ');
}
