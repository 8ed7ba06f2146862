import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {readEngineJournal, sendControl} from '../../rigs/calls.js';
import type {RunningDeployment, RunningEntry} from '../../rigs/deployment.js';
import {readRawStream} from '../../rigs/stream.js';
import {requestOperation, listOperations, operationKind} from '../../src/operations/index.js';
import {HttpStore, leaseName} from '../../src/store/index.js';
import {enginePath} from '../../src/upstreams/index.js';
import type {EngineState} from '../../src/upstreams/index.js';
import {engineEvent} from '../../standins/engine/index.js';
import type {EngineRow} from '../../standins/engine/index.js';
import type {WriteRow} from '../../standins/platform/index.js';
import {checkWhole, startStreams} from './streams.js';
import {
	domainName, modelName, openWorld, waitForEntries, waitForValue,
} from './world.js';

const takeoverMs = 20_000;
const wakeMs = 1500;
const operationMs = 15_000;
const outageMs = 2500;

/** An entry that has the authority is frozen past its lease, and wakes when another has it: its orders have no effect. */
export async function runFrozenAuthority(): Promise<void> {
	const deployment = await openWorld();
	const holder = await waitForHolder(deployment, () => true);
	const fence = await readFence(deployment);
	const other = deployment.entries.find(entry => entry !== holder);
	const store = new HttpStore(deployment.platform);
	const id = `drain-${Date.now()}`;
	try {
		holder.child.kill('SIGSTOP');
		await requestOperation(store, domainName, {
			id, kind: operationKind.drain, subject: 'engine-2', askedAt: Date.now(),
		});
		const streams = startStreams(other!.origin, 'frozen authority');
		await waitForHolder(deployment, found => found !== holder);
		await sleep(wakeMs);
		holder.child.kill('SIGCONT');
		await waitForOperation(store, id);
		await checkWhole(deployment, await streams.ended);
		await checkFences(deployment);
		expect(await readFence(deployment), 'fence of the successor').to.be.above(fence);
		await requestOperation(store, domainName, {
			id: `${id}-back`, kind: operationKind.resume, subject: 'engine-2', askedAt: Date.now(),
		});
		await waitForOperation(store, `${id}-back`);
	} finally {
		holder.child.kill('SIGCONT');
		await store.close();
	}

	await waitForEntries(deployment);
}

/** An entry that starts anew while the store is silent serves by the configuration in force, or says that it can't. */
export async function runEmptyStart(): Promise<void> {
	const deployment = await openWorld();
	const entry = deployment.entries[2]!;
	await sendControl(deployment.platform, {down: 'silent'});
	try {
		entry.child.kill('SIGKILL');
		await once(entry.child, 'exit');
		deployment.restartEntry(entry);
		await sleep(outageMs);
		const answer = await readRawStream(entry.origin, {model: modelName, prompt: `empty start ${Date.now()}`, maxTokens: 20});
		if (answer.status === 200) {
			await checkWhole(deployment, [answer]);
		} else {
			expect(answer.refusal, 'a refusal that says not run').to.contain('"ran":"no"');
		}
	} finally {
		await sendControl(deployment.platform, {down: 'no'});
	}

	await waitForEntries(deployment);
	const whole = await readRawStream(entry.origin, {model: modelName, prompt: `after the outage ${Date.now()}`, maxTokens: 20});
	await checkWhole(deployment, [whole]);
}

/** Waits for the next grant of the lease to an entry that `isWanted`; a holder renews it every few seconds. */
async function waitForHolder(deployment: RunningDeployment, isWanted: (entry: RunningEntry) => boolean): Promise<RunningEntry> {
	const known = await listGrants(deployment);
	return waitForValue('the holder of the lease', takeoverMs, async () => {
		const grants = await listGrants(deployment);
		const holder = grants.slice(known.length).at(-1)?.holder;
		return deployment.entries.find(entry => holder?.includes(entry.vm) && isWanted(entry));
	});
}

async function listGrants(deployment: RunningDeployment): Promise<readonly WriteRow[]> {
	const response = await fetch(`${deployment.platform}/journal`);
	const {journal} = await response.json() as {journal: readonly WriteRow[]};
	return journal.filter(({kind, key}) => kind === 'acquire' && key === leaseName.authority(domainName));
}

async function readFence(deployment: RunningDeployment): Promise<number> {
	const response = await fetch(`${deployment.getUpstream('engine-1').origin}${enginePath.state}`);
	const {fence} = await response.json() as EngineState;
	return fence;
}

async function waitForOperation(store: HttpStore, id: string): Promise<void> {
	await waitForValue(`the end of operation ${id}`, operationMs, async () => {
		const operations = await listOperations(store, domainName);
		return operations.find(operation => operation.id === id && operation.state === 'done');
	});
}

async function checkFences(deployment: RunningDeployment): Promise<void> {
	for (const id of ['engine-1', 'engine-2']) {
		const rows = await readEngineJournal(deployment.getUpstream(id).origin);
		expect(rows.filter(row => row.event === engineEvent.requestCut), `requests cut at ${id}`).to.deep.equal([]);
		checkRising(rows, id);
	}
}

/** An order that takes effect after one with a higher fencing number came from a process that had lost its authority. */
function checkRising(rows: readonly EngineRow[], id: string): void {
	let highest = 0;
	for (const row of rows) {
		if (row.event === engineEvent.started) {
			highest = 0;
		}

		if (row.event === engineEvent.orderApplied) {
			expect(row.fence, `fence of order ${row.id} at ${id}`).to.be.at.least(highest);
			highest = row.fence ?? highest;
		}
	}
}
