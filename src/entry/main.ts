#!/usr/bin/env node
import process from 'node:process';
import {loadEntrySettings} from '../settings/index.js';
import {startEntry} from './entry.js';

/** The program `crocus-entry`: takes the path of its settings file. */
const stop = await startEntry(loadEntrySettings(process.argv[2] ?? 'entry.toml'));
await stop.waitForStop();
process.exit(0);
