#!/usr/bin/env node
import process from 'node:process';
import {formatError} from '../errors/index.js';
import {loadEntrySettings} from '../settings/index.js';
import {startEntry} from './entry.js';

/** Program `crocus-entry`. Its argument is the path of the settings file, `entry.toml` by default. */
try {
	const stop = await startEntry(loadEntrySettings(process.argv[2] ?? 'entry.toml'));
	await stop.waitForStop();
} catch (error) {
	process.stderr.write(`entry not started: ${formatError(error)}\n`);
	process.exit(1);
}

process.exit(0);
