import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet,
} from '../../dispatch/index.js';
import type {EngineOutcome, EngineView} from '../../dispatch/index.js';
import {ManualTimers} from '../../timers/index.js';
import {SlotAllocator} from '../index.js';
import type {LocalReservation, ReservationRequest} from '../index.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest();

/** Creates an allocator for one engine. */
function createAllocator(timers: ManualTimers): {readonly allocator: SlotAllocator; readonly view: EngineView} {
	const fleet = new Fleet();
	fleet.onRegistration({
		id: 'e1', address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 4, isLeaving: false, startedAt: 1,
	});
	const [view] = fleet.listServing('llm');
	return {
		allocator: new SlotAllocator({
			timers, fleet, getRandom: () => 0.5, getSlotShare: () => 1,
		}), view: view!,
	};
}

/** Uses a reservation as a send of this process does: the outcome is recorded in the engine's view and passed to `release`. */
async function serveOnce(allocator: SlotAllocator, view: EngineView, timers: ManualTimers, outcome: EngineOutcome): Promise<void> {
	const reservation = await allocator.acquire(request, new AbortController().signal);
	view.health.onSend();
	view.health.onOutcome(outcome, timers.getNow());
	reservation.release(outcome);
}

async function isGrantedAtOnce(allocator: SlotAllocator, timers: ManualTimers): Promise<boolean> {
	let reservation: LocalReservation | undefined;
	const controller = new AbortController();
	const wait = async () => {
		try {
			reservation = await allocator.acquire(request, controller.signal);
		} catch {}
	};

	void wait();
	await timers.advance(1);
	controller.abort();
	reservation?.release(undefined);
	return reservation !== undefined;
}

describe('SlotAllocator', () => {
	it('counts the outcome of a local send once: one silent answer does not pause the engine, two in a row do', async () => {
		const timers = new ManualTimers();
		const {allocator, view} = createAllocator(timers);
		await serveOnce(allocator, view, timers, engineOutcome.silent);
		expect(view.health.isSuspect).to.equal(false);
		expect(await isGrantedAtOnce(allocator, timers)).to.equal(true);
		await serveOnce(allocator, view, timers, engineOutcome.silent);
		expect(view.health.isSuspect).to.equal(true);
		expect(await isGrantedAtOnce(allocator, timers)).to.equal(false);
	});

	it('grants one trial request at a time on an engine whose pause is over, until one is answered', async () => {
		const timers = new ManualTimers();
		const {allocator, view} = createAllocator(timers);
		await serveOnce(allocator, view, timers, engineOutcome.silent);
		await serveOnce(allocator, view, timers, engineOutcome.silent);
		await timers.advance(400);
		const trial = await allocator.acquire(request, new AbortController().signal);
		expect(await isGrantedAtOnce(allocator, timers)).to.equal(false);
		trial.release(engineOutcome.answered);
		expect(await isGrantedAtOnce(allocator, timers)).to.equal(true);
	});
});
