#!/usr/bin/env node
import process from 'node:process';
import {SystemTimers} from '../../src/timers/index.js';
import {PlatformServer} from './server.js';

/** The program of the platform's stand-in: takes `host:port`. */
await new PlatformServer(new SystemTimers()).start(process.argv[2] ?? '127.0.0.1:7000');
