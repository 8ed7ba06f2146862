/* eslint-disable camelcase -- Field names are those of the users' platform. */
import http from 'node:http';
import {call} from '../standins/caller.mjs';
import {Engine} from '../standins/engine.mjs';
import {sleep} from '../standins/http.mjs';
import {createConfiguration, hasTrouble, runCase} from '../standins/world.mjs';

const requestCount = 1200;
/** Requests in progress at a time at each process. */
const callersPerVm = 4;
const timeoutMs = 3000;
/** The requesters' time budget: they wait for longer than the operator lets them. */
const deadlineMs = 6000;
/** One in so many answers of the faulty engine is wrong bytes: under two in a hundred. */
const answersPerFault = 51;
/** Bytes that are no response: nothing in the request asked for another protocol, and no response follows them. */
const wrongBytes = id => `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nCrocusworks-Request-Id: ${id}\r\n\r\n`;

await runCase(import.meta.url, 3, async world => {
	let answers = 0;
	const spoiled = new Set();
	const createServe = isFaulty => async (arrival, response, engine) => {
		await sleep(5);
		answers += isFaulty ? 1 : 0;
		if (isFaulty && hasTrouble && answers % answersPerFault === 0) {
			spoiled.add(arrival.id);
			world.record(`${engine.id}: ${arrival.id} ran; wrong bytes in place of a response`);
			response.socket.write(wrongBytes(arrival.id));
			return;
		}

		const text = `answer to ${arrival.id}`;
		response.writeHead(200, {'Content-Length': text.length, ...engine.stamp});
		response.end(text);
	};

	const faulty = await world.addEngine(new Engine({id: 'i-app1', service: 'app', serve: createServe(true)}));
	await world.addEngine(new Engine({id: 'i-app2', service: 'app', serve: createServe(false)}));
	const configuration = createConfiguration();
	for (const route of configuration.routes) {
		route.timeout_ms = route.service === 'app' ? timeoutMs : route.timeout_ms;
	}

	await world.start(configuration);
	let sentCount = 0;
	const results = [];
	const runCaller = async vm => {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		while (sentCount < requestCount) {
			sentCount++;
			results.push(await call(world, vm, {path: '/refund/1', deadlineMs, agent}));
		}

		agent.destroy();
	};

	await Promise.all(world.vms.flatMap(vm => Array.from({length: callersPerVm}, async () => runCaller(vm))));
	const late = results.filter(({sentAt, endedAt}) => endedAt - sentAt > timeoutMs);
	const unanswered = late.filter(({sentAt, endedAt, status}) => status === 0 || endedAt - sentAt > timeoutMs + 500);
	const neverCount = unanswered.filter(({status}) => status === 0).length;
	world.record(`${results.length} requests, ${faulty.arrivals.length} at ${faulty.id}, ${spoiled.size} of its answers were wrong bytes`);
	world.record(`${late.length} took longer than timeout_ms, ${unanswered.length} of them had no answer 0.5 s later, ${neverCount} never`);
	return unanswered.length >= 8 && unanswered.length > late.length / 4
		? `CONFIG: ${unanswered.length} of ${late.length} requests that took longer than timeout_ms had no final answer 0.5 s after it`
		: undefined;
});
