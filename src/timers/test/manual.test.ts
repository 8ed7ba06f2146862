import {expect} from 'chai';
import {ManualTimers} from '../index.js';

describe('ManualTimers', () => {
	it('runs due timers in order of their due time', async () => {
		const timers = new ManualTimers();
		const firedTimers: number[] = [];
		timers.startTimer(20, () => firedTimers.push(20));
		timers.startTimer(10, () => firedTimers.push(10));
		await timers.advance(15);
		expect(firedTimers).to.deep.equal([10]);
		await timers.advance(5);
		expect(firedTimers).to.deep.equal([10, 20]);
	});

	it('repeats an interval until it is cancelled, and leaves no timer pending', async () => {
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

	it('ends a sleep early when its signal is aborted', async () => {
		const timers = new ManualTimers();
		const abortController = new AbortController();
		const sleep = timers.sleep(1000, abortController.signal);
		abortController.abort();
		await sleep;
		expect(timers.countPending()).to.equal(0);
	});
});
