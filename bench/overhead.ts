#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {findFreeAddresses} from '../rigs/ports.js';
import {RunningDeployment} from '../rigs/deployment.js';
import {waitForServing, waitForOk, ProcessGroup} from '../rigs/processgroup.js';
import {createChat, createClient} from '../rigs/wire.js';
import {measureSending} from './sender.js';
import type {SendFigures, SendOptions} from './sender.js';

/**
Measures the latency that an entry adds to a call, compared with calling the engine directly and through a minimal
forwarding proxy in the same run:
`node dist/bench/overhead.js --count 2000 --in-flight 1,32`.
*/
const {values} = parseArgs({options: {count: {type: 'string', default: '1000'}, 'in-flight': {type: 'string', default: '1,32'}}});
const configurationText = `[deployment]
name = "overhead"
domains = ["one"]

[callers]
requests_per_second = 100000
tokens_per_second = 100000000

[services.contracts]
kind = "model"
model = "contracts"
version = "1"
deadline_ms = 60000
first_token_ms = 30000

[[upstreams]]
id = "engine-1"
service = "contracts"
domain = "one"
address = "10.0.0.1:7101"
pieces = 64
`;
const maxTokens = 32;
const timeScale = 0.01;
const warmUpCount = 200;
const deployment = new RunningDeployment({configurationText, entriesPerDomain: 1, timeScale});
const processes = new ProcessGroup();
try {
	await deployment.start();
	const [entry] = deployment.entries;
	const [engine] = deployment.upstreams;
	await waitForServing(async () => createClient(entry!.origin, 'warm').chat.completions.create(createChat('contracts', 'ready?', 4)));
	const [proxy] = await findFreeAddresses(1);
	processes.start('dist/bench/baseline.js', [proxy!, engine!.origin.slice('http://'.length)]);
	await waitForOk(`http://${proxy}/v1/state`);
	console.log('| way | in flight | first median ms | first p99 ms | whole median ms | whole p99 ms | requests/s | tokens/s | failed |');
	console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
	for (const inFlight of values['in-flight'].split(',').map(Number)) {
		for (const [targetName, target] of listTargets(`http://${proxy}`, engine!.origin, entry!.origin)) {
			await measureSending({...target, count: warmUpCount, inFlight});
			printRow(targetName, inFlight, await measureSending({...target, count: Number(values.count), inFlight}));
		}
	}
} finally {
	await processes.close();
	await deployment.close();
}

type Target = Omit<SendOptions, 'count' | 'inFlight'>;

function listTargets(proxy: string, engine: string, entry: string): ReadonlyArray<readonly [string, Target]> {
	let sent = 0;
	const createGenerateRequest = () => {
		sent++;
		return {
			id: `bench-${process.pid}-${sent}`, model: 'contracts', version: '1', prompt: `user: bench ${sent}`, promptTokens: 10, maxTokens, offset: 0, priority: 0,
		};
	};

	const createChatRequest = () => {
		sent++;
		return {...createChat('contracts', `bench ${sent}`, maxTokens), stream: true};
	};

	return [
		['direct', {origin: engine, path: '/v1/generate', createBody: createGenerateRequest}],
		['bare proxy', {origin: proxy, path: '/v1/generate', createBody: createGenerateRequest}],
		['entry', {origin: entry, path: '/v1/chat/completions', createBody: createChatRequest}],
	];
}

function printRow(targetName: string, inFlight: number, figures: SendFigures): void {
	const times = [figures.firstByteMedianMs, figures.firstByteP99Ms, figures.totalMedianMs, figures.totalP99Ms].map(ms => ms.toFixed(2));
	const rates = [figures.requestsPerSecond, figures.tokensPerSecond].map(rate => rate.toFixed(0));
	console.log(`| ${[targetName, inFlight, ...times, ...rates, figures.failed].join(' | ')} |`);
}
