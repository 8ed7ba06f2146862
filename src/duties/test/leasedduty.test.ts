import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {dutyKey, formatHolder, parseHolder} from '../index.js';
import {DutyWorld, leaseMs} from './dutyworld.js';
import type {Candidate} from './dutyworld.js';

/** A lease and the time in which a call is begun before its end. */
const takeoverMs = 12_000;

describe('LeasedDuty', () => {
	let world: DutyWorld;
	let a: Candidate;
	let b: Candidate;

	beforeEach(async () => {
		world = new DutyWorld();
		a = world.startCandidate('a', true);
		b = world.startCandidate('b');
		await world.waitForCall('a');
	});

	afterEach(() => {
		world.expectNoViolations();
	});

	const listHolders = () => world.platform.calls.map(({holder}) => holder);

	it('goes to its preferred entry where many start at once, which would otherwise have to hand it over', async () => {
		const started = new DutyWorld();
		for (let index = 0; index < 30; index++) {
			started.startCandidate(`other${index}`);
		}

		started.startCandidate('preferred', true);
		await started.waitForCall('preferred');
		expect(started.changes).to.have.lengthOf(1);
		started.expectNoViolations();
	});

	it('keeps its number while it is renewed', async () => {
		await world.advance(60_000);
		expect(new Set(world.platform.calls.map(({number}) => number)).size).to.equal(1);
		expect(world.changes).to.have.lengthOf(1);
	});

	it('makes its first call a lease after it was acquired, also when the wall clock jumps ahead meanwhile', async () => {
		world.abortCandidate(a);
		while (!world.changes.at(-1)!.startsWith('b acquired')) {
			await world.advance(50);
		}

		const acquiredAt = world.timers.getNow();
		b.timers.shiftWallTime(2_400_000);
		await world.advance(takeoverMs);
		expect(world.platform.calls.find(({holder}) => holder === 'b')!.at - acquiredAt).to.be.at.least(leaseMs - 50);
	});

	it('counts a suspension that a backward jump of the wall clock just before it would hide', async () => {
		// No confirmation comes in between, which would use the new time.
		a.path.state.isCut = true;
		a.timers.shiftWallTime(-10_000);
		await world.advance(300);
		a.path.state.isCut = false;
		a.timers.startSuspension();
		await world.advance(9500);
		expect(listHolders().at(-1)).to.equal('b');
		a.timers.resume();
		await world.advance(takeoverMs);
	});

	it('makes no call after a lease without an answer of the store, though its key was removed at once', async () => {
		a.path.state.isCut = true;
		world.cutFeeds.add('a');
		world.store.tryTransact(new Map(), [], [dutyKey.formatHolderKey('usage')]);
		await world.waitForCall('b');
		await world.advance(takeoverMs);
	});

	it('makes no call that could arrive when the next holder may call', async () => {
		const next = world.startCandidate('c', true);
		await world.advance(11_000);
		const {calls} = world.store;
		while (world.store.calls === calls) {
			await world.advance(10);
		}

		// Just confirmed.
		await world.advance(10);
		a.path.state.isCut = true;
		world.cutFeeds.add('a');
		world.platform.transitMs = 450;
		const key = dutyKey.formatHolderKey('usage');
		world.store.tryTransact(new Map(), [], [key]);
		while (!next.duty.isHeld) {
			await world.advance(10);
		}

		world.platform.transitMs = 0;
		await world.advance(takeoverMs);
		expect(listHolders().at(-1)).to.equal('c');
	});

	it('passes to another entry when the holder is killed, and does not go back to a process that starts again on the VM', async () => {
		world.abortCandidate(a);
		world.startCandidate('a');
		await world.waitForCall('b');
		await world.advance(20_000);
		expect(listHolders().at(-1)).to.equal('b');
	});

	it('passes to the process that starts again on the VM with a higher number', async () => {
		const {number} = world.platform.calls.at(-1)!;
		world.abortCandidate(a);
		world.abortCandidate(b);
		world.startCandidate('a', true);
		await world.waitForCall('a');
		expect(world.platform.calls.at(-1)!.number).to.be.above(number);
	});

	it('makes no call when the holder resumes after a suspension, however long it was', async () => {
		for (const suspendedMs of [1500, 2600, 5000, 15_000]) {
			const holder = b.duty.isHeld ? b : a;
			holder.timers.startSuspension();
			await world.advance(suspendedMs);
			holder.timers.resume();
			await world.advance(takeoverMs);
		}

		expect(listHolders().length).to.be.above(10);
	});

	it('does not send a call that was held up between its check and its sending', async () => {
		let isSafe: boolean | undefined;
		void a.duty.tryCall(async fence => {
			a.timers.startSuspension();
			await world.timers.sleep(10_000);
			isSafe = fence.isSafe();
			return 'refused';
		});
		await world.advance(10_000);
		await world.timers.advance(1);
		expect(isSafe).to.equal(false);
		a.timers.resume();
		await world.advance(takeoverMs);
	});

	it('makes no call once it is cut off from the store for a lease, and none after its return without a new term', async () => {
		a.path.state.isCut = true;
		world.cutFeeds.add('a');
		await world.waitForCall('b');
		a.path.state.isCut = false;
		await world.advance(takeoverMs);
		expect(listHolders().at(-1)).to.equal('b');
	});

	it('keeps the duty over one lost answer and over a jump of the wall clock', async () => {
		a.path.state.lostAnswers = 2;
		const {length} = world.platform.calls;
		await world.advance(5000);
		// The next renewal is sent before the lost one is given up, so that calls go on.
		expect(world.platform.calls.length - length).to.be.at.least(48);
		a.timers.shiftWallTime(2_400_000);
		await world.advance(5000);
		a.timers.shiftWallTime(-2_400_000);
		await world.advance(10_000);
		expect(world.changes).to.have.lengthOf(1);
		expect(listHolders().length).to.be.above(150);
	});

	it('ends at once when its key is removed, or replaced, while its lease lasts', async () => {
		const key = dutyKey.formatHolderKey('usage');
		world.cutFeeds.add('a');
		world.store.tryTransact(new Map(), [], [key]);
		await world.waitForCall('b');
		world.store.tryTransact(new Map(), [{key, value: formatHolder({holder: 'other', number: 1, incarnation: 1})}], []);
		await world.advance(takeoverMs);
		expect(a.duty.isHeld || b.duty.isHeld).to.equal(false);
	});

	it('replaces a malformed record', async () => {
		world.store.tryTransact(new Map(), [{key: dutyKey.formatHolderKey('usage'), value: '{"holder":3'}], []);
		await world.advance(takeoverMs);
		expect(parseHolder(world.store.read(dutyKey.formatHolderKey('usage')).value ?? '')?.holder).to.be.oneOf(['a', 'b']);
		await world.waitForCall(b.duty.isHeld ? 'b' : 'a');
	});

	it('gives the duty up at a stop, and does not shorten the wait of the next holder', async () => {
		const stoppedAt = world.timers.getNow();
		void a.duty.stop();
		await world.waitForCall('b');
		expect(world.platform.calls.find(({holder}) => holder === 'b')!.at - stoppedAt).to.be.at.least(leaseMs);
	});

	it('gives a higher number to each term when the store goes back to a copy from before the last ones', async () => {
		const copy = world.store.exportCopy();
		for (let round = 0; round < 3; round++) {
			const holder = b.duty.isHeld ? b : a;
			void holder.duty.stop();
			world.abortCandidate(holder);
			[a, b] = [b, world.startCandidate(holder.vm)];
			await (holder.vm === 'a' ? world.waitForCall('b') : world.waitForCall('a'));

			world.store.replaceContents(copy);
			await world.advance(takeoverMs);
		}

		expect(new Set(world.platform.calls.map(({number}) => number)).size).to.be.above(3);
	});

	it('does not rely on a wall clock that is behind', async () => {
		const {number} = world.platform.calls.at(-1)!;
		b.timers.shiftWallTime(-2_400_000);
		world.abortCandidate(a);
		await world.waitForCall('b');
		expect(world.platform.calls.at(-1)!.number).to.be.above(number);
	});

	it('takes a late write whose answer was lost for no term, and acquires the duty later all the same', async () => {
		world.abortCandidate(a);
		// The calls of a try: two reads, a lease, the transaction. All of them get lost, then take effect late.
		b.path.state.lostAnswers = 6;
		b.path.state.lateMs = 2000;
		await world.waitForCall('b', 40_000);
	});

	it('removes a key that names it under a lease that another process was given', async () => {
		const key = dutyKey.formatHolderKey('usage');
		const number = 9_000_000_000;
		const record = parseHolder(world.store.read(key).value!)!;
		world.store.tryTransact(new Map(), [{key, value: formatHolder({...record, number})}], []);
		await world.advance(takeoverMs);
		expect(parseHolder(world.store.read(key).value ?? '')?.number).to.equal(number + 1);
	});

	it('tries seldom while the store turns calls away, also as the preferred entry', async () => {
		world.abortCandidate(a);
		const preferred = world.startCandidate('c', true);
		for (const {path} of [b, preferred]) {
			path.state.isRefused = true;
		}

		await world.advance(5000);
		const {calls} = world.store;
		await world.advance(20_000);
		expect(world.store.calls - calls).to.be.within(10, 110);
	});
});

describe('several candidates under random faults', function () {
	this.timeout(60_000);
	for (let seed = 1; seed <= 40; seed++) {
		it(`never break a rule of the platform (seed ${seed})`, async () => {
			const random = new RandomSource(seed);
			const getRandom = () => random.getRandom();
			const world = new DutyWorld(getRandom);
			const names = ['a', 'b', 'c', 'd'];
			const processes = new Map(names.map((vm, index) => [vm, world.startCandidate(vm, index === 0)]));
			let copy = world.store.exportCopy();
			for (let step = 0; step < 150; step++) {
				await world.advance(getRandom() * 3000);
				const vm = names[Math.floor(getRandom() * names.length)]!;
				const process = processes.get(vm)!;
				const {timers, path: {state}} = process;
				const fault = getRandom();
				if (fault < 0.1) {
					timers.startSuspension();
				} else if (fault < 0.2) {
					timers.resume();
				} else if (fault < 0.25 && !timers.isSuspended) {
					timers.shiftWallTime((getRandom() - 0.5) * 4_800_000);
				} else if (fault < 0.35) {
					state.isCut = !state.isCut;
				} else if (fault < 0.45) {
					state.lostAnswers = Math.ceil(getRandom() * 4);
					state.lateMs = getRandom() < 0.5 ? undefined : 2000 + (getRandom() * 10_000);
				} else if (fault < 0.55) {
					state.delayMs = getRandom() < 0.5 ? 4 : getRandom() * 1200;
				} else if (fault < 0.62) {
					world.abortCandidate(process);
					processes.set(vm, world.startCandidate(vm, vm === 'a'));
				} else if (fault < 0.66) {
					void process.duty.stop();
					timers.resume();
					await world.advance(100);
					world.abortCandidate(process);
					processes.set(vm, world.startCandidate(vm, vm === 'a'));
				} else if (fault < 0.7) {
					copy = world.store.exportCopy();
				} else if (fault < 0.74) {
					world.store.replaceContents(copy);
				} else if (fault < 0.8) {
					if (!world.cutFeeds.delete(vm)) {
						world.cutFeeds.add(vm);
					}
				} else {
					world.platform.transitMs = getRandom() * 400;
				}
			}

			expect(world.platform.calls.length).to.be.above(20);
			world.expectNoViolations();
		});
	}
});
