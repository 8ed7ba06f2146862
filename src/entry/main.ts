#!/usr/bin/env node
import process from 'node:process';
import {loadEntrySettings} from '../settings/index.js';
import {startEntry} from './entry.js';

/** The program `crocus-entry`: takes the path of its settings file. */
await startEntry(loadEntrySettings(process.argv[2] ?? 'entry.toml'));
