import {expect} from 'chai';
import {DirectNetwork} from '../../peers/test/direct.js';
import {ManualTimers} from '../../timers/index.js';
import {VmTimers} from '../../duties/test/dutyworld.js';
import {
	isUsageMessage, TrueTimeClock, UsageCollector, UsageSender, WindowCounts,
} from '../index.js';
import {parseUsageItems, toUsageItems} from '../messages.js';

describe('TrueTimeClock', () => {
	let base: ManualTimers;
	let timers: VmTimers;
	let clock: TrueTimeClock;

	beforeEach(() => {
		base = new ManualTimers();
		timers = new VmTimers(base);
		clock = new TrueTimeClock(timers);
	});

	const computeErrorMs = () => clock.getTimeMs() - base.getWallTime();

	it('ignores steps backwards and large ones forward', async () => {
		timers.shiftWallTime(-5000);
		await base.advance(1000);
		expect(computeErrorMs()).to.equal(0);
		timers.shiftWallTime(2_405_000);
		await base.advance(1000);
		expect(computeErrorMs()).to.equal(0);
		expect(clock.isSettled).to.equal(false);
		await base.advance(60_000);
		// It may have been a long suspension.
		expect(clock.isSettled).to.equal(false);
		clock.applyMedian(base.getWallTime());
		expect(clock.isSettled).to.equal(true);
	});

	it('goes on during a suspension', async () => {
		timers.startSuspension();
		await base.advance(7000);
		timers.resume();
		expect(computeErrorMs()).to.equal(0);
	});

	it('is corrected by the median after a step that looked like a suspension, and not by one clock that is off', async () => {
		timers.shiftWallTime(5000);
		expect(computeErrorMs()).to.equal(5000);
		expect(clock.computeMedianMs()).to.equal(undefined);
		for (const [vm, offMs] of [['b', 20], ['c', -2_400_000], ['d', 0], ['e', 10]] as const) {
			clock.onReading(vm, base.getWallTime() + offMs);
		}

		clock.applyMedian(clock.computeMedianMs()!);
		expect(computeErrorMs()).to.equal(10);
	});

	it('does not use readings from before a suspension, which would be as old as it was long', async () => {
		for (const vm of ['b', 'c', 'd']) {
			clock.onReading(vm, base.getWallTime());
		}

		timers.startSuspension();
		await base.advance(6000);
		timers.resume();
		clock.getTimeMs();
		expect(clock.computeMedianMs()).to.equal(undefined);
		expect(computeErrorMs()).to.equal(0);
	});
});

describe('messages of usage counts', () => {
	it('are read as they were written', () => {
		const message = {
			kind: 'counts', vm: 'vm1', incarnation: 5, sequence: 2, ownTimeMs: 9, rows: [[7, 'acme', 3]],
		} as const;
		expect(parseUsageItems(toUsageItems(message))).to.deep.equal(message);
		expect(parseUsageItems(toUsageItems({kind: 'received', sequence: 2, timeMs: undefined}))).to.deep.equal({kind: 'received', sequence: 2, timeMs: undefined});
		expect(parseUsageItems([58, 'later version'])).to.equal(undefined);
		expect([[50], [59], [49], [60], 'x'].map(items => isUsageMessage(items))).to.deep.equal([true, true, false, false, false]);
	});

	it('are refused when malformed', () => {
		const header = [50, 'vm1', 5, 2, 9];
		for (const items of [[50], [...header], [...header, 'x'], [...header, [[1, 'a', -1]]], [...header, [[1, 'a', 0.5]]], [...header, [[1, '', 1]]], [...header, Array.from({length: 1000}, () => [1, 'a', 1])], [51, 'x']]) {
			expect(() => parseUsageItems(items), JSON.stringify(items).slice(0, 60)).to.throw();
		}
	});
});

describe('UsageSender and UsageCollector', () => {
	let timers: ManualTimers;
	let network: DirectNetwork;
	let collectors: UsageCollector[];
	let targets: string[];
	let received: unknown[][];

	beforeEach(async () => {
		timers = new ManualTimers();
		network = new DirectNetwork();
		received = [];
		targets = ['h:1', 's:1'];
		collectors = ['h:1', 's:1', 'n:1'].map(() => new UsageCollector(new TrueTimeClock(timers)));
		await Promise.all(['h:1', 's:1', 'n:1'].map(async (address, index) => network.serve(address, link => ({
			onMessage(items) {
				received.push(items as unknown[]);
				collectors[index]!.serve(link).onMessage(items);
			},
			onClose() {
				// Nothing is kept for a connection.
			},
		}))));
	});

	const startSender = (vm: string, incarnation = 1) => {
		const counts = new WindowCounts();
		const sender = new UsageSender({
			timers, network, clock: new TrueTimeClock(timers), counts, vm, incarnation, listTargets: () => targets,
		});
		sender.start();
		return {counts, sender};
	};

	const sumWindow = (index: number) => Object.fromEntries(collectors[index]!.sum(7));

	it('bring complete counts to the holder and the standby, and send only what has changed', async () => {
		const one = startSender('vm1');
		const two = startSender('vm2');
		one.counts.add(7, 'a');
		one.counts.add(7, 'b', 5);
		two.counts.add(7, 'a', 2);
		await timers.advance(1000);
		expect([sumWindow(0), sumWindow(1)]).to.deep.equal([{a: 3, b: 5}, {a: 3, b: 5}]);
		received.length = 0;
		one.counts.add(7, 'a');
		await timers.advance(1000);
		expect(received.map(items => items.at(-1))).to.deep.equal([[[7, 'a', 2]], [[7, 'a', 2]]]);
		expect(sumWindow(0)).to.deep.equal({a: 4, b: 5});
	});

	it('lose no more than a second of counts when an entry is killed, and none when its process starts again', async () => {
		const first = startSender('vm1', 1);
		first.counts.add(7, 'a', 10);
		await timers.advance(1000);
		first.counts.add(7, 'a', 2);
		first.sender.stop();
		const second = startSender('vm1', 2);
		second.counts.add(7, 'a', 3);
		await timers.advance(1000);
		expect(sumWindow(0)).to.deep.equal({a: 13});
	});

	it('send everything again to a new holder', async () => {
		const {counts} = startSender('vm1');
		counts.add(6, 'a', 4);
		counts.add(7, 'a', 10);
		await timers.advance(1000);
		targets = ['s:1', 'n:1'];
		await timers.advance(1000);
		expect(sumWindow(2)).to.deep.equal({a: 10});
		expect(network.countOpen()).to.equal(2);
	});

	it('open a connection anew, and send everything again, when it has fallen silent', async () => {
		const {counts} = startSender('vm1');
		await timers.advance(1000);
		network.isSilent = true;
		counts.add(7, 'a', 10);
		await timers.advance(2000);
		network.isSilent = false;
		await timers.advance(3000);
		expect(sumWindow(0)).to.deep.equal({a: 10});
	});

	it('never take an earlier count for a later one, and count each process once', () => {
		const collector = collectors[0]!;
		collector.add('vm1/1', [[7, 'a', 5]]);
		collector.add('vm1/1', [[7, 'a', 5]]);
		collector.add('vm1/1', [[7, 'a', 4]]);
		expect(sumWindow(0)).to.deep.equal({a: 5});
	});

	it('keep a bounded number of windows, customers and processes', () => {
		const counts = new WindowCounts();
		for (let customer = 0; customer < 5000; customer++) {
			counts.add(7, `c${customer}`);
		}

		expect([counts.getCounts(7).size, counts.droppedCount]).to.deep.equal([4096, 904]);
		for (let window = 8; window < 60; window++) {
			counts.add(window, 'a');
		}

		expect(counts.listChanges(new WindowCounts())).to.have.lengthOf(12);
		for (let vm = 0; vm < 600; vm++) {
			collectors[0]!.add(`vm${vm}/1`, [[7, 'a', 1]]);
		}

		expect(collectors[0]!.senderCount).to.equal(512);
	});
});
