import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {request as sendRequest} from 'undici';
import {
	LeaseHeldError, StoreConflictError, StoreUnavailableError, StoreUncertainError,
} from '../../../src/errors/index.js';
import {HttpStore, HttpVmList} from '../../../src/store/index.js';
import {SystemTimers} from '../../../src/timers/index.js';
import type {ListeningServer} from '../../http.js';
import {PlatformServer} from '../index.js';
import type {PlatformOptions} from '../index.js';

async function readValue(store: HttpStore): Promise<string | undefined> {
	const found = await store.read('k');
	return found?.value;
}

describe('the platform\'s stand-in', () => {
	const closers: Array<() => Promise<void>> = [];
	const start = async (options?: PlatformOptions) => {
		const platform = new PlatformServer(new SystemTimers(), options);
		const listening: ListeningServer = await platform.start('127.0.0.1:0');
		const origin = `http://${listening.address}`;
		const store = new HttpStore(origin);
		const vms = new HttpVmList(origin);
		closers.push(async () => store.close(), async () => vms.close(), listening.close);
		return {
			platform, origin, store, vms,
		};
	};

	const getFailure = async (call: Promise<unknown>): Promise<unknown> => {
		try {
			await call;
			return undefined;
		} catch (error) {
			return error;
		}
	};

	afterEach(async () => {
		for (const close of closers.splice(0)) {
			await close();
		}
	});

	it('accepts one of two writes that expect the same revision', async () => {
		const {platform, store} = await start();
		const first = await store.write('a/b c%', 'one', 0);
		expect(await getFailure(store.write('a/b c%', 'two', 0))).to.be.instanceOf(StoreConflictError);
		expect(await store.read('a/b c%')).to.deep.equal({value: 'one', revision: first});
		expect(platform.state.journal.list().map(row => row.key)).to.deep.equal(['a/b c%']);
	});

	it('answers a watch when the key is written, and counts the watch as one call', async () => {
		const {platform, store} = await start();
		const watch = store.watch('k', 0, 5000);
		await sleep(20);
		await store.write('k', 'v', 0);
		const found = await watch;
		expect(found?.value).to.equal('v');
		expect(await store.watch('k', 1, 20)).to.equal(undefined);
		expect(platform.limits.counts).to.deep.equal({
			read: 0, write: 1, watch: 2, refused: 0,
		});
	});

	it('grants a lease to one holder until it expires or is released', async () => {
		const {store} = await start();
		await store.acquire('l', 'a', 50);
		expect(await getFailure(store.acquire('l', 'b', 50))).to.be.instanceOf(LeaseHeldError);
		await sleep(70);
		await store.acquire('l', 'b', 50);
		await store.release('l', 'b');
		await store.acquire('l', 'a', 50);
	});

	it('refuses calls above the rate limit', async () => {
		const {store, platform} = await start({readsPerSecond: 3, writesPerSecond: 1, weightBytesPerMs: 1});
		await store.write('k', 'v', 0);
		expect(await getFailure(store.write('k', 'w', 1))).to.be.instanceOf(StoreUnavailableError);
		expect(await readValue(store)).to.equal('v');
		expect(platform.limits.counts.refused).to.equal(1);
	});

	it('drops the answer of a write that took effect, and simulates an outage', async () => {
		const {store, platform} = await start();
		platform.applyControl({loseAnswers: 1});
		expect(await getFailure(store.write('k', 'v', 0))).to.be.instanceOf(StoreUncertainError);
		expect(await readValue(store)).to.equal('v');
		platform.applyControl({down: 'refuse'});
		expect(await getFailure(store.write('k', 'w', 1))).to.be.instanceOf(StoreUnavailableError);
		platform.applyControl({down: 'no'});
		expect(await readValue(store)).to.equal('v');
	});

	it('shows a change to the list of VMs after the configured lag', async () => {
		const {origin, vms, platform} = await start();
		platform.applyControl({vmLagMs: 60});
		await sendRequest(`${origin}/vms`, {method: 'PUT', body: JSON.stringify({vms: [{vm: 'vm-1'}]})});
		expect(await vms.readVms()).to.deep.equal([]);
		await sleep(90);
		expect(await vms.readVms()).to.deep.equal([{vm: 'vm-1'}]);
	});

	it('runs transfers of weights one after another', async () => {
		const {origin} = await start({readsPerSecond: 3, writesPerSecond: 1, weightBytesPerMs: 10});
		const requestWaitMs = async () => {
			const answer = await sendRequest(`${origin}/weights`, {method: 'POST', body: JSON.stringify({bytes: 10_000})});
			const {waitMs} = await answer.body.json() as {waitMs: number};
			return waitMs;
		};

		expect(await requestWaitMs()).to.be.closeTo(1000, 50);
		expect(await requestWaitMs()).to.be.closeTo(2000, 100);
	});
});
