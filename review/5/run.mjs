import http from 'node:http';
import {call} from '../standins/caller.mjs';
import {Engine} from '../standins/engine.mjs';
import {sleep} from '../standins/http.mjs';
import {createConfiguration, hasTrouble, runCase} from '../standins/world.mjs';

const drainMs = 2000;
const id = 'i-app1';

await runCase(import.meta.url, 3, async world => {
	const serve = async (arrival, response, engine) => {
		await sleep(20);
		const text = `answer to ${arrival.id}`;
		response.writeHead(200, {'Content-Length': text.length, ...engine.stamp});
		response.end(text);
	};

	const first = await world.addEngine(new Engine({
		id, service: 'app', born: Date.now(), serve,
	}));
	await world.addEngine(new Engine({id: 'i-app2', service: 'app', serve}));
	await world.addEngine(new Engine({id: 'i-app3', service: 'app', serve}));
	await world.start(createConfiguration());
	const state = {hasEnded: false};
	const runCaller = async vm => {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		while (!state.hasEnded) {
			await call(world, vm, {path: '/lookup/1', deadlineMs: 4000, agent});
			await sleep(20);
		}

		agent.destroy();
	};

	const callers = world.vms.flatMap(vm => [runCaller(vm), runCaller(vm)]);
	await sleep(1000);
	const copy = world.store.copy();
	world.record('a copy of the store is made');

	// The engine crashes and starts again under the id that it had.
	first.stop();
	world.record(`${id}: crash`);
	await sleep(1000);
	const second = new Engine({
		id, service: 'app', born: Date.now(), serve,
	});
	await world.addEngine(second, Number(first.address.split(':')[1]));
	world.record(`${id}: started again`);
	await sleep(2000);

	// It is taken away, as planned.
	second.isLeaving = true;
	world.store.write(`servers/${id}`, second.entry);
	const confirmedAt = performance.now();
	world.record(`${id}: draining confirmed by the store`);
	await sleep(3500);

	if (hasTrouble) {
		world.record('the store comes back from the copy');
		world.store.restore(copy);
		await sleep(1500);
		// The operator and the engines write again what they wrote.
		world.store.write('op/config', createConfiguration());
		for (const engine of world.engines.slice(1)) {
			world.store.write(`servers/${engine.id}`, engine.entry);
		}
	}

	await sleep(3000);
	state.hasEnded = true;
	await Promise.all(callers);
	const late = second.arrivals.filter(({at, kind}) => at > confirmedAt + drainMs && kind === 'run');
	for (const arrival of late) {
		world.record(`${id}: ${arrival.id} reached it ${(arrival.at - confirmedAt).toFixed(0)} ms after the confirmation that it is draining`);
	}

	return late.length > 0 ? `DRAIN: ${late.length} requests reached an engine later than drain_ms after its leaving was acknowledged` : undefined;
});
