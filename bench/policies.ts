#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {policyName} from '../src/entry/decisions.js';
import type {EngineRole} from '../src/deployment/index.js';
import type {PolicyName} from '../src/entry/decisions.js';
import {LowestCostSelection, TwoChoicesSelection, WeightedSelection} from '../src/routing/index.js';
import type {RandomSource} from '../src/rates/index.js';
import {formatFigures} from './figures.js';
import {listJobs} from './mix.js';
import {createDeployment, Simulation} from './simulation.js';
import {scenarios} from './scenarios.js';

/** Compares the policies in a simulation in this process: `node dist/bench/policies.js --scenario shifting --seeds 5`. */
const {values} = parseArgs({
	options: {
		scenario: {type: 'string', default: 'shifting'},
		seeds: {type: 'string', default: '2'},
		weight: {type: 'string', default: '0.8'},
		policies: {type: 'string', default: Object.values(policyName).join(',')},
		choice: {type: 'string', default: 'weighted'},
		rate: {type: 'string', default: '1'},
		length: {type: 'string', default: '1'},
		roles: {type: 'string', default: ''},
	},
});
const strategies = {
	cheapest: () => new LowestCostSelection(), two: (random: RandomSource) => new TwoChoicesSelection(random), weighted: (random: RandomSource) => new WeightedSelection(random),
};
const roleLetters: Readonly<Record<string, EngineRole>> = {p: 'prefill', d: 'decode', m: 'mixed'};
const deadlineMs = 10_000;
const scenario = scenarios[values.scenario]!;
const phases = scenario.phases.map(phase => ({
	...phase, durationMs: phase.durationMs * Number(values.length), requestsPerSecond: phase.requestsPerSecond * Number(values.rate),
}));
let durationMs = 0;
for (const phase of phases) {
	durationMs += phase.durationMs;
}

for (const policy of values.policies.split(',') as PolicyName[]) {
	for (let seed = 1; seed <= Number(values.seeds); seed++) {
		const cpuAtStart = process.cpuUsage();
		const simulation = new Simulation({
			deployment: createDeployment(Number(values.weight), deadlineMs),
			policy,
			jobs: listJobs(phases, seed),
			durationMs,
			deadlineMs,
			firstTokenMs: 900,
			entriesPerDomain: 2,
			seed,
			roles: values.roles ? [...values.roles].map(letter => roleLetters[letter]!) : undefined,
			createStrategy: strategies[values.choice as keyof typeof strategies],
		});
		const figures = await simulation.run();
		const usedCpu = process.cpuUsage(cpuAtStart);
		const cpuSeconds = (usedCpu.user + usedCpu.system) / 1e6;
		console.log(`${policy.padEnd(16)}  seed ${seed}  ${formatFigures(figures)}  cpu ${cpuSeconds.toFixed(1)}s`);
	}
}

process.exit(0);
