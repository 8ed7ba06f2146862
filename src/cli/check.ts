#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {parseDeployment} from '../deployment/index.js';
import {parseEntrySettings} from '../settings/index.js';
import {exitCode, getExitCode} from './exitcodes.js';

/** The program `crocus-check`: checks files of configuration text, or of entry settings with `--settings`, and prints every problem found. Exits with the highest exit code of any file. */
const {values, positionals} = parseArgs({options: {settings: {type: 'boolean', default: false}}, allowPositionals: true});
process.exitCode = positionals.length === 0 ? exitCode.usage : exitCode.success;
if (positionals.length === 0) {
	console.error('usage: crocus-check [--settings] FILE...');
}

for (const file of positionals) {
	try {
		const text = readFileSync(file, 'utf8');
		if (values.settings) {
			parseEntrySettings(text, file);
		} else {
			parseDeployment(text, file);
		}

		console.log(`${file} is good`);
	} catch (error) {
		console.error(error instanceof Error ? error.message : error);
		process.exitCode = Math.max(Number(process.exitCode), getExitCode(error));
	}
}
