#!/usr/bin/env node
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {policyName} from '../src/entry/decisions.js';
import {formatFigures} from './figures.js';
import type {RunFigures} from './figures.js';
import {listJobs} from './mix.js';
import {LoadRun} from './run.js';
import {scenarios} from './scenarios.js';
import {formatSummary} from './summary.js';

/**
Runs a scenario against a deployment of real processes, once for each policy and seed, and writes the figures to bench/results:
`npm run bench -- --deployment umuhora --scenario shifting --seeds 5`.
*/
const {values} = parseArgs({
	options: {
		deployment: {type: 'string', default: 'umuhora'},
		scenario: {type: 'string', default: 'shifting'},
		seeds: {type: 'string', default: '5'},
		policies: {type: 'string', default: Object.values(policyName).join(',')},
		// Time scale of the engines' response times and of the run's phases; intervals inside entries are not scaled.
		scale: {type: 'string', default: '1'},
		// Factor on the duration of the phases only.
		length: {type: 'string', default: '0.3'},
		deadline: {type: 'string', default: '10000'},
		// Goodput weight that replaces the one in the deployment's configuration.
		weight: {type: 'string'},
		// Factor on the request rate of the phases.
		rate: {type: 'string', default: '1'},
	},
});
const timeScale = Number(values.scale);
const scenario = scenarios[values.scenario];
if (!scenario) {
	throw new RangeError(`unknown scenario ${values.scenario}; known scenarios: ${Object.keys(scenarios).join(', ')}`);
}

const phases = scenario.phases.map(phase => ({
	...phase, durationMs: phase.durationMs * Number(values.length), requestsPerSecond: phase.requestsPerSecond * Number(values.rate),
}));
const configurationText = readFileSync(`examples/${values.deployment}.toml`, 'utf8');
const runs: Array<RunFigures & {readonly policy: string; readonly seed: number; readonly loadAverage: number}> = [];
for (let seed = 1; seed <= Number(values.seeds); seed++) {
	for (const policy of values.policies.split(',')) {
		const run = new LoadRun({
			configurationText, policy, timeScale, phases, jobs: listJobs(phases, seed), deadlineMs: Number(values.deadline), goodputWeight: values.weight, hasFaults: scenario.hasFaults ?? false,
		});
		const figures = await run.run();
		const [loadAverage = 0] = loadavg();
		runs.push({
			...figures, policy, seed, loadAverage,
		});
		console.log(`${policy.padEnd(16)}  seed ${seed}  ${formatFigures(figures)}  load average ${loadAverage.toFixed(1)}`);
	}
}

const summary = formatSummary(`${values.deployment}, ${values.scenario}, time scale ${values.scale}, length ${values.length}, weight ${values.weight ?? 'of the text'}, rate ${values.rate}`, runs);
console.log(summary);
const folder = 'bench/results';
mkdirSync(folder, {recursive: true});
const resultName = [values.deployment, values.scenario, ...values.weight === undefined ? [] : [`weight-${values.weight}`]].join('-');
writeFileSync(path.join(folder, `${resultName}.md`), summary);
writeFileSync(path.join(folder, `${resultName}.json`), `${JSON.stringify(runs, undefined, '\t')}\n`);
process.exit(0);
