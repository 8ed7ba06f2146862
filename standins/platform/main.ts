#!/usr/bin/env node
import process from 'node:process';
import {startPlatform} from './platform.js';

/** The program of the platform's stand-in: takes `host:port`. */
await startPlatform(process.argv[2] ?? '127.0.0.1:7000');
