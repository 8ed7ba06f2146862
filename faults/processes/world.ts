import {setTimeout as sleep} from 'node:timers/promises';
import {RunningDeployment} from '../../rigs/deployment.js';
import type {RunningEntry} from '../../rigs/deployment.js';
import {waitForOk, waitForServing} from '../../rigs/processgroup.js';
import {createChat, createClient} from '../../rigs/wire.js';

/** Name of the model of the processes under test. */
export const modelName = 'contracts';
export const domainName = 'one';

const text = `[deployment]
name = "processes"
domains = ["${domainName}"]

[callers]
requests_per_second = 10000
tokens_per_second = 10000000

[services.${modelName}]
kind = "model"
model = "${modelName}"
version = "1"
deadline_ms = 60000
first_token_ms = 5000

[services.refunds]
kind = "application"
deadline_ms = 5000
non_repeatable = ["POST /refunds"]

[[upstreams]]
id = "engine-1"
service = "${modelName}"
domain = "${domainName}"
address = "10.0.0.1:7101"
pieces = 200

[[upstreams]]
id = "engine-2"
service = "${modelName}"
domain = "${domainName}"
address = "10.0.0.2:7101"
pieces = 200
fenced = false

[[upstreams]]
id = "refunds-1"
service = "refunds"
domain = "${domainName}"
address = "10.0.0.3:7201"
`;
const entryCount = 3;
const timeScale = 0.5;
const pollMs = 50;

let running: RunningDeployment | undefined;

/** Returns the processes that the cells share, started at the first call: every cell leaves them whole again. They are started anew after a cell that did not. */
export async function openWorld(): Promise<RunningDeployment> {
	if (running && !running.isWhole) {
		await closeWorld();
	}

	running ??= await startWorld();
	return running;
}

async function startWorld(): Promise<RunningDeployment> {
	const deployment = new RunningDeployment({
		configurationText: text, entriesPerDomain: entryCount, timeScale, isLinked: true,
	});
	try {
		await deployment.start();
		await waitForEntries(deployment);
		return deployment;
	} catch (error) {
		await deployment.close();
		throw error;
	}
}

/** Ends the processes. */
export async function closeWorld(): Promise<void> {
	await running?.close();
	running = undefined;
}

/** Waits until every entry takes work. */
export async function waitForEntries(deployment: RunningDeployment): Promise<void> {
	for (const {origin} of deployment.entries) {
		await waitForOk(`${origin}/readyz`);
		await waitForServing(async () => createClient(origin, 'warm').chat.completions.create(createChat(modelName, 'ready?', 4)));
	}
}

/** Kills an entry, waits for its end, and starts it again with an empty memory. */
export async function resumeEntry(deployment: RunningDeployment, entry: RunningEntry): Promise<void> {
	deployment.restartEntry(entry);
	await waitForEntries(deployment);
}

/** Waits until `find` returns something. Throws `RangeError` after `timeoutMs`. */
export async function waitForValue<Value>(name: string, timeoutMs: number, find: () => Promise<Value | undefined>): Promise<Value> {
	const end = Date.now() + timeoutMs;
	for (;;) {
		const found = await find();
		if (found !== undefined) {
			return found;
		}

		if (Date.now() > end) {
			throw new RangeError(`${name} did not come within ${timeoutMs} ms`);
		}

		await sleep(pollMs);
	}
}
