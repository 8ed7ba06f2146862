#!/usr/bin/env node
import process from 'node:process';
import {SystemTimers} from '../../src/timers/index.js';
import {ServiceServer} from './server.js';

/** The program of the plain service's stand-in: takes `host:port`. */
await new ServiceServer(new SystemTimers()).start(process.argv[2] ?? '127.0.0.1:7200');
