import type {CellResult} from './matrix.js';

type Sums = {tried: number; passed: number; failed: number; notApplicable: number};

/** Formats results as tables in Markdown: procedures by faults, the points, and every failure. */
export function formatTable(results: readonly CellResult[]): string {
	return [
		formatSums('procedure, step', results, result => `${result.cell.procedure}, ${result.cell.step}`),
		formatSums('fault', results, result => result.cell.fault),
		formatSums('point', results, result => result.cell.point),
		formatReasons(results),
		formatFailures(results),
	].join('\n\n');
}

function formatSums(title: string, results: readonly CellResult[], getKey: (result: CellResult) => string): string {
	const groups = new Map<string, Sums>();
	for (const result of results) {
		const sums = groups.get(getKey(result)) ?? {
			tried: 0, passed: 0, failed: 0, notApplicable: 0,
		};
		addResult(sums, result);
		groups.set(getKey(result), sums);
	}

	const rows = [...groups].map(([key, sums]) => `| ${key} | ${sums.tried} | ${sums.passed} | ${sums.failed} | ${sums.notApplicable} |`);
	return [`| ${title} | tried | passed | failed | not applicable |`, '| --- | --- | --- | --- | --- |', ...rows].join('\n');
}

function addResult(sums: Sums, {cell, failure}: CellResult): void {
	if (cell.notApplicable !== undefined) {
		sums.notApplicable++;
		return;
	}

	sums.tried++;
	if (failure === undefined) {
		sums.passed++;
	} else {
		sums.failed++;
	}
}

/** Lists why cells were not applicable; the steps that share a procedure, a fault and a reason are counted together. */
function formatReasons(results: readonly CellResult[]): string {
	const counts = new Map<string, number>();
	for (const {cell} of results.filter(({cell}) => cell.notApplicable !== undefined)) {
		const key = `${cell.procedure}, ${cell.fault}: ${cell.notApplicable}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return ['Not applicable, with the number of steps:', '', ...[...counts].map(([key, count]) => `- ${key} (${count})`)].join('\n');
}

function formatFailures(results: readonly CellResult[]): string {
	const rows = results.flatMap(({cell, failure}) => failure === undefined ? [] : [`- ${cell.point}: ${cell.procedure}, ${cell.step}, ${cell.fault}: ${failure}`]);
	return [`Failed: ${rows.length}`, ...rows].join('\n');
}
