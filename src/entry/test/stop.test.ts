import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {request as sendRequest} from 'undici';
import {waitForOk} from '../../../rigs/processgroup.js';
import {defaultEngineOptions, EngineServer} from '../../../standins/engine/index.js';
import {PlatformServer} from '../../../standins/platform/index.js';
import type {Step, StepHooks} from '../../procedures/index.js';
import {storeKey} from '../../store/index.js';
import {SystemTimers} from '../../timers/index.js';
import {stopPhase} from '../stop.js';
import {EntryRig} from './rig.js';
import type {RigEntry} from './rig.js';
import {
	chat, longChat, parseStream, sendChat,
} from './wire.js';
import type {ChatResponse} from './wire.js';

const stream = {...longChat, stream: true} as const;

async function findFreeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

async function readStatus(address: string, path: string): Promise<number> {
	const answer = await sendRequest(`http://${address}${path}`);
	await answer.body.dump();
	return answer.statusCode;
}

const retryIntervalMs = 100;

/** Starts a stream with a long answer. Retries while the entry refuses: when it has just started, it may know no engine or still be setting it up. */
async function startLongStream(address: string, timers: SystemTimers): Promise<{readonly running: Promise<ChatResponse>}> {
	for (;;) {
		const running = sendChat(address, stream);
		const earlyResponse = await Promise.race([running, timers.sleep(200)]);
		if (earlyResponse?.status !== 503) {
			return {running};
		}

		// Retrying without a pause, hundreds of times a second, would exceed the caller's limit.
		await timers.sleep(retryIntervalMs);
	}
}

async function hasFailed(call: Promise<unknown>): Promise<boolean> {
	try {
		await call;
		return false;
	} catch {
		return true;
	}
}

/** Holds a procedure after one of its steps until it is released: no time limit of the procedure runs meanwhile. */
class HeldStep implements StepHooks {
	isDone = false;
	isReleased = false;
	readonly #name: string;
	readonly #timers: SystemTimers;

	constructor(name: string, timers: SystemTimers) {
		this.#name = name;
		this.#timers = timers;
	}

	readonly onAfter = async ({name}: Step): Promise<void> => {
		if (name === this.#name) {
			this.isDone = true;
			while (!this.isReleased) {
				await this.#timers.sleep(1);
			}
		}
	};

	async waitUntilDone(): Promise<void> {
		while (!this.isDone) {
			await this.#timers.sleep(1);
		}
	}
}

describe('graceful stop over HTTP', () => {
	const timers = new SystemTimers();
	let rig: EntryRig;
	let entry: RigEntry;

	beforeEach(async () => {
		rig = new EntryRig();
		await rig.startEngine('e1', 'd1');
		await rig.startService('s1', 'd1');
		entry = await rig.startEntry('vm-1', 'd1');
	});

	afterEach(async () => {
		await rig.close();
	});

	it('reports not ready first, then refuses requests as not run, and cuts off no stream', async () => {
		const {stop, settings} = entry.dependencies;
		const running = sendChat(entry.address, stream);
		await timers.sleep(50);
		const signalledAt = timers.getNow();
		const held = new HeldStep('wait for the balancer', timers);
		const stopped = stop.onSignal(held);
		expect(await readStatus(entry.address, '/readyz')).to.equal(503);
		expect(await readStatus(entry.address, '/healthz')).to.equal(200);
		await held.waitUntilDone();
		expect(timers.getNow() - signalledAt).to.be.at.least(settings.balancerWaitMs - 1);
		const lateResponse = await sendChat(entry.address, chat);
		expect(lateResponse.status).to.equal(200);
		held.isReleased = true;
		while (stop.phase === stopPhase.notReady) {
			await timers.sleep(1);
		}

		expect([stop.phase, stop.countInProgress()]).to.deep.equal([stopPhase.draining, 1]);
		const refused = await sendChat(entry.address, chat);
		expect([refused.status, refused.error?.code, refused.error?.ran, refused.headers.connection]).to.deep.equal([503, 'draining', 'no', 'close']);
		await entry.dependencies.stop.onSignal();
		const answer = await running;
		expect(answer.isCut).to.equal(false);
		expect(parseStream(answer.text).isWhole).to.equal(true);
		await stopped;
	});

	it('waits for a call that may not be repeated also after its caller has left', async () => {
		rig.instances.get('s1')?.applyControl({slowMs: 400});
		const controller = new AbortController();
		const call = sendRequest(`http://${entry.address}/services/refunds/refunds`, {
			method: 'POST', headers: {'idempotency-key': 'k'}, body: '{}', signal: controller.signal,
		});
		await timers.sleep(150);
		controller.abort();
		expect(await hasFailed(call)).to.equal(true);
		await timers.sleep(50);
		expect(entry.dependencies.stop.countInProgress()).to.equal(1);
		await entry.dependencies.stop.onSignal();
		const other = await rig.startEntry('vm-2', 'd1');
		const repeatedAnswer = await sendRequest(`http://${other.address}/services/refunds/refunds`, {
			method: 'POST', headers: {'idempotency-key': 'k'}, body: '{}',
		});
		expect(repeatedAnswer.statusCode).to.equal(200);
		await repeatedAnswer.body.dump();
		expect(rig.instances.get('s1')?.journal.list().filter(row => row.event === 'run')).to.have.lengthOf(1);
	});
});

describe('the entry\'s process at SIGTERM', () => {
	it('exits with 0 after the last request, also after a second signal', async () => {
		const timers = new SystemTimers();
		const engine = new EngineServer(timers, {...defaultEngineOptions, timeScale: 0.3});
		const platform = new PlatformServer(timers);
		const [engineListening, platformListening] = [await engine.start('127.0.0.1:0'), await platform.start('127.0.0.1:0')];
		const [http, peer] = [await findFreeAddress(), await findFreeAddress()];
		const configurationText = [
			'[deployment]',
			'name = "t"',
			'domains = ["d1"]',
			'[services.contracts]',
			'kind = "model"',
			'model = "contracts"',
			'version = "1"',
			'deadline_ms = 30000',
			'[[upstreams]]',
			'id = "e1"',
			'service = "contracts"',
			'domain = "d1"',
			`address = "${engineListening.address}"`,
			'pieces = 64',
		].join('\n');
		await sendRequest(`http://${platformListening.address}/kv/${storeKey.configuration}`, {
			method: 'PUT', body: JSON.stringify({value: JSON.stringify({version: 1, text: configurationText, hash: ''}), expectedRevision: 0}),
		});
		const settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'crocus-')), 'entry.toml');
		writeFileSync(
			settingsFile,
			`vm = "vm-1"\ndomain = "d1"\nhttp = "${http}"\npeer = "${peer}"\nplatform = "http://${platformListening.address}"\nsecret = "a secret of the tests"\nbalancerWaitMs = 100\n`,
		);
		const child = spawn(process.execPath, ['dist/src/entry/main.js', settingsFile], {stdio: 'ignore'});
		try {
			await waitForOk(`http://${http}/readyz`);
			const {running} = await startLongStream(http, timers);
			child.kill('SIGTERM');
			await timers.sleep(150);
			child.kill('SIGTERM');
			const exited = once(child, 'exit');
			const answer = await running;
			expect([answer.status, answer.isCut, answer.error?.message]).to.deep.equal([200, false, undefined]);
			expect(parseStream(answer.text).isWhole).to.equal(true);
			expect(await exited).to.deep.equal([0, null]);
		} finally {
			child.kill('SIGKILL');
			await engineListening.close();
			await platformListening.close();
		}
	});
});
