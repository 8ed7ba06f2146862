import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet, QueueRefusal,
} from '../../dispatch/index.js';
import {ManualTimers} from '../../timers/index.js';
import {RecentRefusals, SlotAllocator} from '../index.js';
import type {LocalReservation} from '../allocator.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest({targetMs: 400, deadlineMs: 6000});
/** A search for a further engine while `silent` sends nothing. */
const search = {...request, excludedEngines: ['silent']};

/** Two engines, one of which is full. */
class SearchWorld {
	readonly timers = new ManualTimers();
	readonly allocator: SlotAllocator;
	readonly granted: LocalReservation[] = [];
	readonly #controllers: AbortController[] = [];

	constructor() {
		const fleet = new Fleet();
		for (const id of ['silent', 'full']) {
			fleet.onRegistration({
				id, address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 4, isLeaving: false, startedAt: 1,
			});
		}

		this.allocator = new SlotAllocator({
			timers: this.timers, fleet, getRandom: () => 0.5, getSlotShare: () => 1,
		});
	}

	/** Begins a search and returns its result if that comes at once. */
	async startSearch(): Promise<LocalReservation | QueueRefusal | undefined> {
		const controller = new AbortController();
		this.#controllers.push(controller);
		const acquired = this.allocator.tryAcquire(search, controller.signal);
		return Promise.race([acquired, this.timers.advance(0)]) as Promise<LocalReservation | QueueRefusal | undefined>;
	}

	/** Searches until the other engine is full and `count` searches wait. */
	async startSearches(count: number): Promise<void> {
		for (let waiting = 0; waiting < count;) {
			const result = await this.startSearch();
			if (result === undefined) {
				waiting++;
			} else {
				expect(result).to.not.be.instanceOf(QueueRefusal);
				(result as LocalReservation).onPrefillEnd(engineOutcome.answered);
			}
		}
	}

	cancelAll(): void {
		for (const controller of this.#controllers) {
			controller.abort();
		}
	}
}

describe('searches for a further engine that wait for a place', () => {
	it('hold back no other requests once they are cancelled, as the silent engine goes on', async () => {
		const world = new SearchWorld();
		const {allocator, timers} = world;
		const refusals = new RecentRefusals(timers, () => 0.5, allocator.limits);
		await world.startSearches(10);
		await timers.advance(150);
		world.cancelAll();
		await timers.advance(1);
		expect(await allocator.tryAcquire(request, new AbortController().signal)).to.not.be.instanceOf(QueueRefusal);
		refusals.onAnswer(request, true, allocator.computeGrantRate(request));
		await timers.advance(20);
		expect(() => {
			refusals.check(request);
		}).to.not.throw();
	});

	it('let requests pass that the silent engine has places for', async () => {
		const world = new SearchWorld();
		await world.startSearches(1);
		let result: LocalReservation | QueueRefusal | undefined;
		void (async () => {
			result = await world.allocator.tryAcquire(request, new AbortController().signal);
		})();

		await world.timers.advance(60);
		expect((result as LocalReservation | undefined)?.engines.decodeEngine).to.equal('silent');
	});
});
