import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {ManualTimers} from '../../timers/index.js';
import {Lease} from '../lease.js';

const ttlMs = 9000;
const marginMs = 1000;

describe('Lease', () => {
	let timers: ManualTimers;
	let platform: FakePlatform;
	let store: FakeStore;
	let lease: Lease;
	beforeEach(() => {
		timers = new ManualTimers();
		platform = new FakePlatform(timers);
		store = new FakeStore(platform);
		lease = createLease('vm-1/1');
	});

	function createLease(holder: string): Lease {
		return new Lease({
			store: holder === 'vm-1/1' ? store : new FakeStore(platform), timers, name: 'd', holder, ttlMs, marginMs,
		});
	}

	it('expires relative to when the renewal was sent, not to when it was answered', async () => {
		store.delayMs = 5000;
		const acquired = lease.tryAcquire();
		await timers.advance(5000);
		expect(await acquired).to.equal(true);
		await timers.advance(2999);
		expect(lease.isHolder()).to.equal(true);
		await timers.advance(1);
		expect(lease.isHolder()).to.equal(false);
	});

	it('expires by the wall clock when the monotonic clock stood still', async () => {
		await lease.tryAcquire();
		timers.shiftWallTime(ttlMs);
		expect(lease.isHolder()).to.equal(false);
	});

	it('expires by the monotonic clock when the wall clock was set back', async () => {
		await lease.tryAcquire();
		timers.shiftWallTime(-60_000);
		await timers.advance(ttlMs - marginMs);
		expect(lease.isHolder()).to.equal(false);
	});

	it('is not extended by a renewal whose answer was lost', async () => {
		await lease.tryAcquire();
		await timers.advance(4000);
		store.lostAnswers = 1;
		expect(await lease.tryAcquire()).to.equal(true);
		await timers.advance(4000);
		expect(lease.isHolder()).to.equal(false);
	});

	it('begins a new term only when it had expired in between', async () => {
		await lease.tryAcquire();
		await timers.advance(3000);
		await lease.tryAcquire();
		expect(lease.termNumber).to.equal(1);
		await timers.advance(ttlMs);
		await lease.tryAcquire();
		expect(lease.termNumber).to.equal(2);
	});

	it('can be acquired by another holder at once after its release', async () => {
		await lease.tryAcquire();
		const other = createLease('vm-2/1');
		expect(await other.tryAcquire()).to.equal(false);
		await lease.release();
		expect(lease.isHolder()).to.equal(false);
		expect(await other.tryAcquire()).to.equal(true);
	});
});
