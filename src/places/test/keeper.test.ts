import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet,
} from '../../dispatch/index.js';
import type {EngineOutcome, EngineView} from '../../dispatch/index.js';
import {ManualTimers} from '../../timers/index.js';
import {PlaceKeeper} from '../index.js';
import type {KeptPlace, PlaceAsk} from '../index.js';

const ask: PlaceAsk = {
	service: 'llm', targetMs: 120, deadlineMs: 1800, patienceMs: 2000, serviceMs: 40, prefixBlocks: [], uniqueTokens: 10, outputTokens: 10, engineTokens: 1000, tried: [],
};

/** A keeper of one engine whose places this process itself uses. */
function createKeeper(timers: ManualTimers): {readonly keeper: PlaceKeeper; readonly view: EngineView} {
	const fleet = new Fleet();
	fleet.onRegistration({
		id: 'e1', address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 4, isLeaving: false, startedAt: 1,
	});
	const [view] = fleet.listServing('llm');
	return {
		keeper: new PlaceKeeper({
			timers, fleet, pickUnit: () => 0.5, getShare: () => 1,
		}), view: view!,
	};
}

/** Uses a place as a send of this process does: the send signs the view, the holder tells the keeper. */
async function takeOnce(keeper: PlaceKeeper, view: EngineView, timers: ManualTimers, sign: EngineOutcome): Promise<void> {
	const place = await keeper.acquire(ask, new AbortController().signal);
	view.health.onSend();
	view.health.onOutcome(sign, timers.getNow());
	place.release(sign);
}

async function isGivenAtOnce(keeper: PlaceKeeper, timers: ManualTimers): Promise<boolean> {
	let place: KeptPlace | undefined;
	const controller = new AbortController();
	const wait = async () => {
		try {
			place = await keeper.acquire(ask, controller.signal);
		} catch {}
	};

	void wait();
	await timers.advance(1);
	controller.abort();
	place?.release(undefined);
	return place !== undefined;
}

describe('PlaceKeeper', () => {
	it('counts a silent answer of its own process once: one closes no engine, two in a row do', async () => {
		const timers = new ManualTimers();
		const {keeper, view} = createKeeper(timers);
		await takeOnce(keeper, view, timers, engineOutcome.silent);
		expect(view.health.isSuspect).to.equal(false);
		expect(await isGivenAtOnce(keeper, timers)).to.equal(true);
		await takeOnce(keeper, view, timers, engineOutcome.silent);
		expect(view.health.isSuspect).to.equal(true);
		expect(await isGivenAtOnce(keeper, timers)).to.equal(false);
	});

	it('gives the engine of a silent answer one request at a time once its pause is over, until one is answered', async () => {
		const timers = new ManualTimers();
		const {keeper, view} = createKeeper(timers);
		await takeOnce(keeper, view, timers, engineOutcome.silent);
		await takeOnce(keeper, view, timers, engineOutcome.silent);
		await timers.advance(400);
		const trial = await keeper.acquire(ask, new AbortController().signal);
		expect(await isGivenAtOnce(keeper, timers)).to.equal(false);
		trial.release(engineOutcome.answered);
		expect(await isGivenAtOnce(keeper, timers)).to.equal(true);
	});
});
