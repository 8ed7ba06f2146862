#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {request as sendRequest} from 'undici';
import type {EngineRole} from '../../src/deployment/index.js';
import {SystemTimers} from '../../src/timers/index.js';
import {defaultEngineOptions} from './options.js';
import {EngineServer} from './server.js';

/** Runs an engine's stand-in as a process, for example `engine/main.js 127.0.0.1:7101 --role decode --time-scale 0.1`. */
const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		role: {type: 'string', default: defaultEngineOptions.setup.role},
		model: {type: 'string', default: defaultEngineOptions.setup.model},
		version: {type: 'string', default: defaultEngineOptions.setup.version},
		adapters: {type: 'string', default: ''},
		pieces: {type: 'string', default: String(defaultEngineOptions.pieces)},
		'time-scale': {type: 'string', default: '1'},
		unfenced: {type: 'boolean', default: false},
		/** Origin (`http://host:port`) of the platform whose weight store sets the time to load weights. */
		weights: {type: 'string'},
	},
});
const timers = new SystemTimers();
const {weights} = values;
const timeScale = Number(values['time-scale']);
const loadWeights = weights === undefined
	? undefined
	: async (bytes: number) => {
		const answer = await sendRequest(`${weights}/weights`, {method: 'POST', body: JSON.stringify({bytes})});
		const {waitMs} = await answer.body.json() as {waitMs: number};
		await timers.sleep(waitMs * timeScale);
	};

const server = new EngineServer(timers, {
	...defaultEngineOptions,
	setup: {
		role: values.role as EngineRole,
		model: values.model,
		version: values.version,
		adapters: values.adapters === '' ? [] : values.adapters.split(','),
	},
	pieces: Number(values.pieces),
	timeScale,
	isFenced: !values.unfenced,
}, loadWeights);
await server.start(positionals[0] ?? '127.0.0.1:7100');
