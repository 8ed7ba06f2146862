#!/usr/bin/env node
import process from 'node:process';
import {loadEntrySettings} from '../settings/index.js';
import {startEntry} from './entry.js';

/** Program `crocus-entry`. Its argument is the path of the settings file, `entry.toml` by default. */
const stop = await startEntry(loadEntrySettings(process.argv[2] ?? 'entry.toml'));
await stop.waitForStop();
process.exit(0);
