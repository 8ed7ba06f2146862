#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runCells} from './matrix.js';
import {formatTable} from './table.js';
import {closeWorld} from './processes/world.js';
import {listCells} from './rows/index.js';
import {listProcessCells} from './rows/processes.js';

/** Runs the fault matrix and prints it: `npm run faults -- --seed 1 --without fence`. */
const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'}, without: {type: 'string'}, procedure: {type: 'string'}, processes: {type: 'boolean', default: false},
	},
});
const listed = values.processes ? listProcessCells() : listCells();
const cells = listed.filter(cell => values.procedure === undefined || cell.procedure === values.procedure);
const results = await runCells(cells, {seed: Number(values.seed), without: values.without});
await closeWorld();
console.log(formatTable(results));
process.exitCode = results.some(result => result.failure !== undefined) ? 1 : 0;
