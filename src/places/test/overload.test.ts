import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet, QueueRefusal,
} from '../../dispatch/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {SlotAllocator, RecentRefusals} from '../index.js';
import type {ReservationRequest} from '../index.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest({
	targetMs: 180, deadlineMs: 1900, uniqueTokens: 5000, outputTokens: 2, kvCapacityTokens: 1_400_000,
});
/** Time that an engine takes for one request, in milliseconds: ten engines serve 500 requests per second. */
const requestMs = 20;
const engineCount = 10;
const entryCount = 80;

/** Simulates many entries that request reservations from one allocator. */
class OverloadRun {
	requested = 0;
	granted = 0;
	refused = 0;
	readonly #timers = new ManualTimers();
	readonly #random = new RandomSource(3);
	readonly #allocator: SlotAllocator;
	readonly #refusals: RecentRefusals[];
	readonly #freeAt = new Map<string, number>();

	constructor(readonly isThrottled: boolean) {
		const fleet = new Fleet();
		for (let index = 0; index < engineCount; index++) {
			fleet.onRegistration({
				id: `e${index}`, address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 8, isLeaving: false, startedAt: 1,
			});
		}

		this.#allocator = new SlotAllocator({
			timers: this.#timers, fleet, getRandom: () => this.#random.getRandom(), getSlotShare: () => 1,
		});
		this.#refusals = Array.from({length: entryCount}, () => new RecentRefusals(this.#timers, () => this.#random.getRandom(), this.#allocator.limits));
	}

	/** Sends requests at a rate; returns how many were sent to the allocator, granted, and refused by it or by their entry. */
	async runLoad(requestsPerSecond: number, durationMs: number): Promise<{readonly requested: number; readonly granted: number; readonly refused: number}> {
		const {requested, granted, refused} = this;
		for (let at = 0; at < durationMs;) {
			const gap = -Math.log(1 - this.#random.getRandom()) * 1000 / requestsPerSecond;
			at += gap;
			await this.#timers.advance(gap);
			void this.#serve(this.#refusals[this.#random.pickIndex(entryCount)]!);
		}

		return {requested: this.requested - requested, granted: this.granted - granted, refused: this.refused - refused};
	}

	async #serve(refusals: RecentRefusals): Promise<void> {
		try {
			if (this.isThrottled) {
				refusals.check(request);
			}
		} catch {
			this.refused++;
			return;
		}

		this.requested++;
		const reservation = await this.#allocator.tryAcquire(request, new AbortController().signal);
		if (reservation instanceof QueueRefusal) {
			this.refused++;
			refusals.onAnswer(request, false, this.#allocator.computeGrantRate(request));
			return;
		}

		this.granted++;
		refusals.onAnswer(request, true, this.#allocator.computeGrantRate(request));
		const {decodeEngine} = reservation.engines;
		const freeAt = Math.max(this.#timers.getNow(), this.#freeAt.get(decodeEngine) ?? 0) + requestMs;
		this.#freeAt.set(decodeEngine, freeAt);
		await this.#timers.sleep(freeAt - this.#timers.getNow());
		reservation.onPrefillEnd(engineOutcome.answered);
		reservation.release(engineOutcome.answered);
	}
}

describe('many entries with one allocator', () => {
	it('send it less than twice the requests that it grants at five times its capacity, and get hardly fewer grants', async () => {
		const [unthrottled, throttled] = [new OverloadRun(false), new OverloadRun(true)];
		await unthrottled.runLoad(2500, 1000);
		await throttled.runLoad(2500, 1000);
		const unthrottledCounts = await unthrottled.runLoad(2500, 2000);
		const throttledCounts = await throttled.runLoad(2500, 2000);
		expect(throttledCounts.requested).to.be.below(throttledCounts.granted * 1.8);
		expect(throttledCounts.granted).to.be.above(unthrottledCounts.granted * 0.97);
	}).timeout(60_000);

	it('refuse hardly any requests once the load is below the capacity', async () => {
		const throttled = new OverloadRun(true);
		await throttled.runLoad(2500, 2000);
		await throttled.runLoad(350, 500);
		const after = await throttled.runLoad(350, 2000);
		expect(after.refused).to.be.below(after.granted * 0.02);
	}).timeout(60_000);

	it('refuse few more requests than necessary when the load is slightly above the capacity', async () => {
		const [unthrottled, throttled] = [new OverloadRun(false), new OverloadRun(true)];
		await unthrottled.runLoad(550, 1000);
		await throttled.runLoad(550, 1000);
		const unthrottledCounts = await unthrottled.runLoad(550, 4000);
		const throttledCounts = await throttled.runLoad(550, 4000);
		expect(throttledCounts.granted).to.be.above(unthrottledCounts.granted * 0.97);
	}).timeout(60_000);
});
