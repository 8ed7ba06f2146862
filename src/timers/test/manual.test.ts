import {expect} from 'chai';
import {ManualTimers} from '../index.js';

describe('ManualTimers', () => {
	it('runs due timers in the order of their time', async () => {
		const timers = new ManualTimers();
		const ran: number[] = [];
		timers.startTimer(20, () => ran.push(20));
		timers.startTimer(10, () => ran.push(10));
		await timers.advance(15);
		expect(ran).to.deep.equal([10]);
		await timers.advance(5);
		expect(ran).to.deep.equal([10, 20]);
	});

	it('repeats until cancelled and leaves no timer behind', async () => {
		const timers = new ManualTimers();
		let count = 0;
		const timer = timers.startInterval(10, () => {
			count++;
		});
		await timers.advance(35);
		timer.cancel();
		await timers.advance(100);
		expect(count).to.equal(3);
		expect(timers.countPending()).to.equal(0);
	});

	it('ends a sleep at once when its signal is aborted', async () => {
		const timers = new ManualTimers();
		const abort = new AbortController();
		const sleep = timers.sleep(1000, abort.signal);
		abort.abort();
		await sleep;
		expect(timers.countPending()).to.equal(0);
	});
});
