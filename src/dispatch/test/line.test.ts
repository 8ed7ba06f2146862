import {expect} from 'chai';
import {NotRunError} from '../../errors/index.js';
import {ManualTimers} from '../../timers/index.js';
import {WaitingLine} from '../index.js';
import type {Waiting} from '../index.js';

/** One place that is given again a fixed time after it was taken. */
class OnePlace {
	isFree = true;
	readonly given: string[] = [];
	readonly refused = new Map<string, number>();
	readonly line: WaitingLine<string>;
	readonly #timers: ManualTimers;
	readonly #holdMs: number;

	constructor(timers: ManualTimers, holdMs: number) {
		this.#timers = timers;
		this.#holdMs = holdMs;
		this.line = new WaitingLine<string>(timers, () => 0.5);
	}

	ask(name: string, changes: Partial<Waiting> = {}, signal = new AbortController().signal): void {
		const now = this.#timers.getNow();
		const waiting: Waiting = {
			targetAt: now + 120, deadlineAt: now + 2000, patientUntil: now + 2000, since: now, serviceMs: 20, group: 'one', ...changes,
		};
		void this.#wait(name, waiting, signal);
	}

	async #wait(name: string, waiting: Waiting, signal: AbortSignal): Promise<void> {
		try {
			await this.line.wait(waiting, () => {
				if (!this.isFree) {
					return undefined;
				}

				this.isFree = false;
				return name;
			}, signal);
			this.given.push(name);
			await this.#timers.sleep(this.#holdMs);
			this.isFree = true;
			this.line.serve();
		} catch (error) {
			this.refused.set(name, error instanceof NotRunError ? error.retryAfterMs : -1);
		}
	}
}

describe('WaitingLine', () => {
	it('gives a free place at once', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		place.ask('a');
		await timers.advance(0);
		expect(place.given).to.deep.equal(['a']);
	});

	it('lets the earliest target go first, and late requests after those that can be on time', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		place.ask('a');
		await timers.advance(0);
		place.ask('late', {targetAt: -1});
		place.ask('second', {targetAt: 110});
		place.ask('first', {targetAt: 90});
		await timers.advance(60);
		expect(place.given).to.deep.equal(['a', 'first', 'second', 'late']);
	});

	it('refuses at once what can\'t be answered before its deadline', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		place.ask('a', {deadlineAt: 15});
		await timers.advance(0);
		expect([...place.refused.keys()]).to.deep.equal(['a']);
	});

	it('refuses a late request after its part of the time, with a time to come back within a third of what is left', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10_000);
		place.ask('a');
		await timers.advance(0);
		place.ask('b', {targetAt: -1});
		await timers.advance(700);
		expect(place.refused.get('b')).to.be.within(50, 1400 / 3);
	});

	it('refuses before its caller\'s patience ends, though its deadline is far', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 20_000);
		place.ask('a');
		await timers.advance(0);
		place.ask('draft', {targetAt: 200, deadlineAt: 15_000, patientUntil: 2000});
		await timers.advance(1200);
		expect(place.refused.get('draft')).to.be.within(2000, 14_000 / 3);
	});

	it('gives no place to a request that was given up', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		const controller = new AbortController();
		place.ask('a');
		await timers.advance(0);
		place.ask('gone', {}, controller.signal);
		controller.abort();
		place.ask('b');
		await timers.advance(50);
		expect(place.given).to.deep.equal(['a', 'b']);
	});

	it('under four times the load that it can take, serves new requests on time rather than old ones late', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		const askedAt = new Map<string, number>();
		const waits = new Map<string, number>();
		for (let index = 0; index < 1200; index++) {
			const name = `r${index}`;
			askedAt.set(name, timers.getNow());
			place.ask(name);
			// It begins with sixty at once.
			await timers.advance(index < 60 ? 0 : 2.5);
			for (const given of place.given) {
				waits.set(given, waits.get(given) ?? timers.getNow() - askedAt.get(given)!);
			}
		}

		const onTime = [...waits.values()].filter(wait => wait <= 103);
		expect(waits.size).to.be.greaterThan(270);
		expect(onTime.length / waits.size).to.be.greaterThan(0.9);
	});

	it('under twice the load that it can take, answers nearly all that it accepts on time and refuses the rest quickly', async () => {
		const timers = new ManualTimers();
		const place = new OnePlace(timers, 10);
		const givenAt = new Map<string, number>();
		const askedAt = new Map<string, number>();
		for (let index = 0; index < 400; index++) {
			const name = `r${index}`;
			askedAt.set(name, timers.getNow());
			place.ask(name);
			await timers.advance(5);
			for (const given of place.given) {
				givenAt.set(given, givenAt.get(given) ?? timers.getNow());
			}
		}

		await timers.advance(1000);
		const waits = [...givenAt].map(([name, at]) => at - askedAt.get(name)!);
		const onTime = waits.filter(wait => wait <= 110);
		expect(onTime.length).to.be.greaterThan(150);
		expect(onTime.length / waits.length).to.be.greaterThan(0.8);
	});
});
