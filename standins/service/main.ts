#!/usr/bin/env node
import process from 'node:process';
import {SystemTimers} from '../../src/timers/index.js';
import {ServiceServer} from './server.js';

/** Runs the plain service's stand-in as a process; the argument is the address to listen at, `host:port`. */
await new ServiceServer(new SystemTimers()).start(process.argv[2] ?? '127.0.0.1:7200');
