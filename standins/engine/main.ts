#!/usr/bin/env node
import process from 'node:process';
import {startEngine} from './engine.js';

/** The program of the engine's stand-in: takes `host:port`. */
await startEngine(process.argv[2] ?? '127.0.0.1:7100');
