import {expect} from 'chai';
import {engineOutcome, engineStage, Fleet} from '../../dispatch/index.js';
import {ManualTimers} from '../../timers/index.js';
import {SlotAllocator} from '../index.js';
import type {LocalReservation} from '../allocator.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest({targetMs: 400, deadlineMs: 15_000});
/** Backoff of an engine that has become suspect, in milliseconds. */
const backoffMs = 400;

/** One engine, and an allocator for it. */
class SilenceWorld {
	readonly timers = new ManualTimers();
	readonly allocator: SlotAllocator;

	constructor() {
		const fleet = new Fleet();
		fleet.onRegistration({
			id: 'e1', address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 4, isLeaving: false, startedAt: 1,
		});
		this.allocator = new SlotAllocator({
			timers: this.timers, fleet, getRandom: () => 0.5, getSlotShare: () => 1,
		});
	}

	/** Acquires a reservation if there is a place at once. */
	async acquireAtOnce(): Promise<LocalReservation | undefined> {
		const controller = new AbortController();
		let reservation: LocalReservation | undefined;
		const acquire = async () => {
			try {
				reservation = await this.allocator.acquire(request, controller.signal);
				reservation.onPrefillEnd(engineOutcome.answered);
			} catch {}
		};

		void acquire();
		await this.timers.advance(1);
		controller.abort();
		return reservation;
	}

	/** Acquires reservations until the engine is full. */
	async acquireAll(): Promise<LocalReservation[]> {
		const reservations: LocalReservation[] = [];
		for (let next = await this.acquireAtOnce(); next; next = await this.acquireAtOnce()) {
			reservations.push(next);
		}

		return reservations;
	}
}

describe('the places of requests at a silent engine', () => {
	it('are free for others when the engine answers again but has lost the requests', async () => {
		const world = new SilenceWorld();
		const lost = await world.acquireAll();
		for (const reservation of lost) {
			reservation.onSilence(true);
		}

		await world.timers.advance(backoffMs);
		const trial = await world.acquireAtOnce();
		trial!.release(engineOutcome.answered);
		expect(await world.acquireAll()).to.have.lengthOf(lost.length);
	});

	it('are taken when the engine goes on with the requests, and free when these end', async () => {
		const world = new SilenceWorld();
		const kept = await world.acquireAll();
		for (const isSilent of [true, false]) {
			for (const reservation of kept) {
				reservation.onSilence(isSilent);
			}
		}

		expect(await world.acquireAtOnce()).to.equal(undefined);
		for (const reservation of kept) {
			reservation.release(engineOutcome.answered);
		}

		expect(await world.acquireAll()).to.have.lengthOf(kept.length);
	});
});
