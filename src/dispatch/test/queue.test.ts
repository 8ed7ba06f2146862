import {getEventListeners} from 'node:events';
import {expect} from 'chai';
import {NotRunError} from '../../errors/index.js';
import {ManualTimers} from '../../timers/index.js';
import {AdmissionQueue} from '../index.js';
import type {QueuedRequest} from '../index.js';

/** A queue for a single slot, which each request holds for a fixed time. */
class SingleSlot {
	isFree = true;
	readonly granted: string[] = [];
	readonly refused = new Map<string, number>();
	readonly queue: AdmissionQueue<string>;
	readonly #timers: ManualTimers;
	readonly #holdMs: number;

	constructor(timers: ManualTimers, holdMs: number) {
		this.#timers = timers;
		this.#holdMs = holdMs;
		this.queue = new AdmissionQueue<string>(timers, () => 0.5);
	}

	submit(name: string, changes: Partial<QueuedRequest> = {}, signal = new AbortController().signal): void {
		const now = this.#timers.getNow();
		const request: QueuedRequest = {
			targetAt: now + 120, deadlineAt: now + 2000, firstByteDeadlineAt: now + 2000, queuedAt: now, serviceMs: 20, group: 'one', ...changes,
		};
		void this.#wait(name, request, signal);
	}

	async #wait(name: string, request: QueuedRequest, signal: AbortSignal): Promise<void> {
		try {
			await this.queue.wait(request, () => {
				if (!this.isFree) {
					return undefined;
				}

				this.isFree = false;
				return name;
			}, signal);
			this.granted.push(name);
			await this.#timers.sleep(this.#holdMs);
			this.isFree = true;
			this.queue.dispatch();
		} catch (error) {
			this.refused.set(name, error instanceof NotRunError ? error.retryAfterMs : -1);
		}
	}
}

describe('AdmissionQueue', () => {
	it('grants a free slot at once', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		slot.submit('a');
		await timers.advance(0);
		expect(slot.granted).to.deep.equal(['a']);
	});

	it('serves the earliest target first, and late requests after those that can be on time', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		slot.submit('a');
		await timers.advance(0);
		slot.submit('late', {targetAt: -1});
		slot.submit('second', {targetAt: 110});
		slot.submit('first', {targetAt: 90});
		await timers.advance(60);
		expect(slot.granted).to.deep.equal(['a', 'first', 'second', 'late']);
	});

	it('refuses at once a request that can\'t be answered before its deadline', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		slot.submit('a', {deadlineAt: 15});
		await timers.advance(0);
		expect([...slot.refused.keys()]).to.deep.equal(['a']);
	});

	it('refuses a late request after its maximum wait, with a retry-after time within a third of the time left', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10_000);
		slot.submit('a');
		await timers.advance(0);
		slot.submit('b', {targetAt: -1});
		await timers.advance(700);
		expect(slot.refused.get('b')).to.be.within(50, 1400 / 3);
	});

	it('refuses a request before its first-byte deadline, though its deadline is far', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 20_000);
		slot.submit('a');
		await timers.advance(0);
		slot.submit('draft', {targetAt: 200, deadlineAt: 15_000, firstByteDeadlineAt: 2000});
		await timers.advance(1200);
		expect(slot.refused.get('draft')).to.be.within(2000, 14_000 / 3);
	});

	it('refuses a request that was aborted before it waits at once, with the slot free or taken', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		slot.submit('a', {}, AbortSignal.abort());
		slot.submit('b');
		slot.submit('c', {}, AbortSignal.abort());
		await timers.advance(0);
		expect([slot.granted, [...slot.refused.keys()], slot.queue.size]).to.deep.equal([['b'], ['a', 'c'], 0]);
	});

	it('grants nothing to a request that was aborted', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		const controller = new AbortController();
		slot.submit('a');
		await timers.advance(0);
		slot.submit('gone', {}, controller.signal);
		controller.abort();
		slot.submit('b');
		await timers.advance(50);
		expect(slot.granted).to.deep.equal(['a', 'b']);
	});

	it('at four times its capacity, serves new requests on time rather than old ones late', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		const submittedAt = new Map<string, number>();
		const waitsMs = new Map<string, number>();
		for (let index = 0; index < 1200; index++) {
			const name = `r${index}`;
			submittedAt.set(name, timers.getNow());
			slot.submit(name);
			// The load begins with a burst of sixty requests at once.
			await timers.advance(index < 60 ? 0 : 2.5);
			for (const granted of slot.granted) {
				waitsMs.set(granted, waitsMs.get(granted) ?? timers.getNow() - submittedAt.get(granted)!);
			}
		}

		const onTimeWaits = [...waitsMs.values()].filter(wait => wait <= 103);
		expect(waitsMs.size).to.be.greaterThan(270);
		expect(onTimeWaits.length / waitsMs.size).to.be.greaterThan(0.9);
	});

	it('at twice its capacity, serves nearly all requests that it accepts on time and refuses the rest quickly', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 10);
		const grantedAt = new Map<string, number>();
		const submittedAt = new Map<string, number>();
		for (let index = 0; index < 400; index++) {
			const name = `r${index}`;
			submittedAt.set(name, timers.getNow());
			slot.submit(name);
			await timers.advance(5);
			for (const granted of slot.granted) {
				grantedAt.set(granted, grantedAt.get(granted) ?? timers.getNow());
			}
		}

		await timers.advance(1000);
		const waitsMs = [...grantedAt].map(([name, at]) => at - submittedAt.get(name)!);
		const onTimeWaits = waitsMs.filter(wait => wait <= 110);
		expect(onTimeWaits.length).to.be.greaterThan(150);
		expect(onTimeWaits.length / waitsMs.length).to.be.greaterThan(0.8);
	});

	it('leaves no listener on the signal of a request that has ended its wait', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 30);
		const {signal} = new AbortController();
		slot.submit('first');
		slot.submit('second', {}, signal);
		expect(getEventListeners(signal, 'abort')).to.have.lengthOf(1);
		await timers.advance(100);
		expect(slot.granted).to.deep.equal(['first', 'second']);
		expect(getEventListeners(signal, 'abort')).to.have.lengthOf(0);
	});

	// Guards against an error of one request's choice that surfaces in another request, or in a timer, and leaves its own request waiting.
	it('ends the wait of a request whose choice throws, and serves those behind it', async () => {
		const timers = new ManualTimers();
		const slot = new SingleSlot(timers, 30);
		slot.submit('first');
		const request: QueuedRequest = {
			targetAt: 40, deadlineAt: 2000, firstByteDeadlineAt: 2000, queuedAt: 0, serviceMs: 20, group: 'one',
		};
		const failing = slot.queue.wait(request, () => {
			if (slot.isFree) {
				throw new TypeError('the choice failed');
			}

			return undefined;
		}, new AbortController().signal);
		const getOutcome = async () => {
			try {
				return await failing;
			} catch (error) {
				return (error as Error).message;
			}
		};

		const outcome = getOutcome();
		slot.submit('second');
		await timers.advance(200);
		expect(await outcome).to.equal('the choice failed');
		expect(slot.granted).to.deep.equal(['first', 'second']);
		expect(slot.queue.size).to.equal(0);
	});
});
