/* eslint-disable camelcase -- Field names are those of the users' platform. */
import http from 'node:http';
import {call, describePrompt} from '../standins/caller.mjs';
import {Engine, sendStream} from '../standins/engine.mjs';
import {sendJson, sleep} from '../standins/http.mjs';
import {createConfiguration, hasTrouble, runCase} from '../standins/world.mjs';

/** Requests in progress on kept channels when the wrong bytes come. */
const refundCount = 8;
const refundWorkMs = 1200;
/** Prompts that the engine reads before: one spoiled answer is then under two in a hundred. */
const earlierChecks = 60;
const handle = '3fa09c41b7d5';
/** The same with one byte spoiled: a 4 became a blank. */
const spoiledHandle = '3fa09c 1b7d5';

await runCase(import.meta.url, 3, async world => {
	let workMs = 20;
	const serveApp = async (arrival, response, engine) => {
		await sleep(workMs);
		const text = `answer to ${arrival.id}`;
		response.writeHead(200, {'Content-Length': text.length, ...engine.stamp});
		response.end(text);
	};

	let isSpoiled = false;
	const servePrefill = async (arrival, response, engine) => {
		await sleep(10);
		world.record(`${engine.id}: prompt of ${arrival.id} read, answered with handle "${isSpoiled ? spoiledHandle : handle}"`);
		sendJson(response, 200, {kv_handle: isSpoiled ? spoiledHandle : handle, tokens: 700, version: 1}, engine.stamp);
	};

	const serveDecode = async (arrival, response, engine) => {
		const from = arrival.headers['crocusworks-kv-from'];
		if (from !== undefined && !from.endsWith(`/${handle}`)) {
			world.record(`${engine.id}: ${arrival.id} refused as not run, since there is no memory "${from.split('/')[1]}"`);
			sendJson(response, 503, {}, {'Crocusworks-Not-Run': '1'});
			return;
		}

		await sendStream(arrival, response, engine, {count: 2, intervalMs: 10});
	};

	const apps = [await world.addEngine(new Engine({id: 'i-app1', service: 'app', serve: serveApp})), await world.addEngine(new Engine({id: 'i-app2', service: 'app', serve: serveApp}))];
	const reader = await world.addEngine(new Engine({
		id: 'i-read1', service: 'llm', stage: 'prefill', serve: servePrefill,
	}));
	await world.addEngine(new Engine({
		id: 'i-write1', service: 'llm', stage: 'decode', serve: serveDecode,
	}));
	await world.addEngine(new Engine({
		id: 'i-write2', service: 'llm', stage: 'decode', serve: serveDecode,
	}));
	await world.start(createConfiguration());

	const [vm] = world.vms;
	const agent = new http.Agent({keepAlive: true, maxSockets: refundCount, scheduling: 'fifo'});
	const refund = async () => call(world, vm, {path: '/refund/1', deadlineMs: 4000, agent});
	const check = async part => call(world, vm, {path: '/check/1', deadlineMs: 2000, headers: describePrompt([`${part}:6300`], 2890, 2)});
	// Opens the channels that are kept, and shows that all is well.
	await Promise.all(Array.from({length: refundCount}, refund));
	const earlier = [];
	for (let number = 0; number < earlierChecks; number++) {
		earlier.push(await check(`5c1e${number.toString(16)}`));
	}

	workMs = refundWorkMs;
	const refunds = Array.from({length: refundCount}, refund);
	await sleep(200);
	isSpoiled = hasTrouble;
	await check('91bd3f06');
	const answers = await Promise.all(refunds);
	agent.destroy();
	const passedOn = new Set(apps.flatMap(({arrivals}) => arrivals.map(({id}) => id)));
	const lost = answers.filter(({id, status, isComplete}) => passedOn.has(id) && (status === 0 || !isComplete));
	if (earlier.some(({status}) => status !== 200)) {
		throw new Error('A request before the disruption was not served.');
	}

	world.record(`prompts read at ${reader.id}: ${reader.arrivals.length}`);
	await sleep(300);
	for (const {name, exits, log} of world.vms) {
		if (exits.length > 0) {
			world.record(`${name}: last output: ${log.join('').slice(-1500)}`);
		}
	}

	return lost.length > 3 ? `LOST: ${lost.length} requests were passed on from kept channels to a sound engine and got no answer` : undefined;
});
