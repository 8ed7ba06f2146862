#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {factSlopes, gossipSlopes} from './slopes/feed.js';
import {routerSlopes} from './slopes/router.js';
import {stateSlopes} from './slopes/state.js';
import {formatSlopes, measureSlope} from './slopes/slope.js';
import type {MeasuredSlope} from './slopes/slope.js';

/**
Measures how resource use grows with the size of a deployment; docs/CAPACITY.md is computed from these slopes.
`npm run slopes -- --role routing` measures the slopes of one role; `--write` also writes them to bench/results/slopes.md.
*/
const {values} = parseArgs({options: {role: {type: 'string'}, write: {type: 'boolean', default: false}}});
const slopes = [...factSlopes, ...gossipSlopes, ...routerSlopes, ...stateSlopes].filter(slope => values.role === undefined || slope.role === values.role);
const measured: MeasuredSlope[] = [];
for (const slope of slopes) {
	measured.push(await measureSlope(slope));
}

const table = formatSlopes(measured);
console.log(table);
if (values.write) {
	const [load = 0] = os.loadavg();
	mkdirSync('bench/results', {recursive: true});
	writeFileSync('bench/results/slopes.md', `Command: \`npm run slopes -- --write\`, Node.js ${process.version}, load average ${load.toFixed(1)} at the end.\n\n${table}\n`);
}
