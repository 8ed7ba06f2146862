#!/usr/bin/env node
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {RunningDeployment} from './deployment.js';

/** Runs one of the deployments of `examples/` on loopback for some time: `npm run up -- office --seconds 600`. */
const {values, positionals} = parseArgs({options: {seconds: {type: 'string', default: '600'}}, allowPositionals: true});
const [name = 'umuhora'] = positionals;
const deployment = new RunningDeployment({configurationText: readFileSync(`examples/${name}.toml`, 'utf8'), entriesPerDomain: 2});
const stopping = new AbortController();
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		stopping.abort();
	});
}

try {
	await deployment.start();
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'crocus-')), `${name}.toml`);
	writeFileSync(file, deployment.configurationText);
	console.log(`text ${file}`);
	for (const {vm, origin} of deployment.entries) {
		console.log(`${vm} ${origin.replace('http://', '')}`);
	}

	await sleep(Number(values.seconds) * 1000, undefined, {signal: stopping.signal});
} catch (error) {
	if (!stopping.signal.aborted) {
		throw error;
	}
} finally {
	await deployment.close();
}
