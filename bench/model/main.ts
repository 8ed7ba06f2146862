#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {loadSite} from './site.js';
import {ModelRun} from './run.js';

/**
Plays a site file of the users' bench on the model, in virtual time, and prints what callers got:
`npm run model -- --site FILE --seeds 3 --load 1.5 --takeovers 10,20`.
*/
const {values} = parseArgs({
	options: {
		site: {type: 'string'},
		seeds: {type: 'string', default: '3'},
		seconds: {type: 'string', default: '30'},
		load: {type: 'string', default: '1'},
		takeovers: {type: 'string', default: ''},
	},
});
if (values.site === undefined) {
	throw new RangeError('--site FILE is missing');
}

const site = loadSite(values.site);
const takeovers = values.takeovers.split(',').filter(text => text !== '').map(Number);
const format = (share: number) => share.toFixed(3);
for (let seed = 1; seed <= Number(values.seeds); seed++) {
	const result = await new ModelRun(site, {
		seed, seconds: Number(values.seconds), load: Number(values.load), takeovers,
	}).run();
	const {worth, prefilledTokens, repeatedTokens, prefillUtilization, rejectedShare} = result;
	console.log([
		`${site.name}, seed ${seed}: worth ${format(worth)}`,
		`shared tokens read again ${format(repeatedTokens / prefilledTokens)}`,
		`prefill engines busy ${format(prefillUtilization)}`,
		`rejected ${format(rejectedShare)}`,
	].join(', '));
	for (const [name, {asked, onTime, late, refused, gone, rejected}] of result.kinds) {
		console.log(`  ${name.padEnd(24)} ${asked} asked, ${onTime} on time, ${late} late, ${refused} refused, ${gone} callers gone, ${rejected} rejected`);
	}
}

process.exitCode = 0;
