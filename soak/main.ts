#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {soakCases} from './cases.js';
import {runSoak} from './run.js';

/** How long faults are injected in one run, in seconds. */
const defaultSeconds = '12';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '1'}, seed: {type: 'string'}, seconds: {type: 'string', default: defaultSeconds}, cases: {type: 'boolean', default: false}, vms: {type: 'string'},
	},
});
const firstSeed = values.seed === undefined ? Math.floor(Math.random() * 1_000_000) : Number(values.seed);
const runs = values.cases
	? soakCases
	: Array.from({length: Number(values.seeds)}, (_, index) => ({seed: firstSeed + index, seconds: Number(values.seconds)}));
let failed = 0;
for (const {seed, seconds} of runs) {
	const report = await runSoak(seed, seconds, values.vms === undefined ? undefined : Number(values.vms));
	console.log(`seed ${seed}, ${seconds} s, deadline ${report.shape.deadlineMs} ms${report.shape.isNarrow ? ', near capacity' : ''}: ${report.violations.length === 0 ? 'kept' : 'BROKEN'}, ${report.calls} calls, ${report.answered} answered well, ${report.faults.length} faults, ${report.crashes} crashes on requests`);
	if (report.violations.length > 0) {
		failed++;
		console.log([...report.faults, ...report.violations.slice(0, 20)].map(line => `  ${line}`).join('\n'));
	}
}

console.log(`${runs.length - failed} kept, ${failed} broken`);
process.exit(failed > 0 ? 1 : 0);
