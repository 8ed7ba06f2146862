import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet, QueueRefusal,
} from '../../dispatch/index.js';
import {ServiceTimes} from '../../gateway/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {PlaceKeeper} from '../index.js';
import type {PlaceAsk} from '../index.js';

const tokens = 5000;
const ask: PlaceAsk = {
	service: 'llm', targetMs: 180, deadlineMs: 1900, patienceMs: 2000, serviceMs: 70, prefixBlocks: [], uniqueTokens: tokens, outputTokens: 2, engineTokens: 1_400_000, tried: [],
};
/** Time of an engine that only reads for one token, in milliseconds. */
const tokenMs = 0.002;
const readers = 4;
const writeMs = 5;

/**
Plays twice the load that the engines which read can take, through senders whose own processors and ways take a time that
the engines don't see; returns what was answered on time each second.
*/
async function runLoad(overheadMs: number): Promise<number> {
	const timers = new ManualTimers();
	const random = new RandomSource(5);
	const fleet = new Fleet();
	for (let index = 0; index < readers + 2; index++) {
		fleet.onRegistration({
			id: `e${index}`, address: '10.0.0.1:80', service: 'llm', stage: index < readers ? engineStage.prefill : engineStage.decode, slots: 100, isLeaving: false, startedAt: 1,
		});
	}

	const keeper = new PlaceKeeper({
		timers, fleet, pickUnit: () => random.getRandom(), getShare: () => 1,
	});
	const freeAt = new Map<string, number>();
	const serviceTimes = new ServiceTimes();
	let onTime = 0;
	const serve = async () => {
		const startedAt = timers.getNow();
		const place = await keeper.tryAcquire({...ask, serviceMs: serviceTimes.estimateMs('check')}, new AbortController().signal);
		if (place instanceof QueueRefusal) {
			return;
		}

		const givenAt = timers.getNow();
		const {reader, writer} = place.engines;
		await timers.sleep(overheadMs / 2);
		const id = reader ?? writer;
		const readAt = Math.max(timers.getNow(), freeAt.get(id) ?? 0) + (tokens * tokenMs * (reader === undefined ? 2.5 : 1) * random.pickBetween(0.7, 1.3));
		freeAt.set(id, readAt);
		await timers.sleep(readAt - timers.getNow() + (overheadMs / 2));
		place.onRead(engineOutcome.answered);
		await timers.sleep(writeMs);
		place.release(engineOutcome.answered);
		serviceTimes.add('check', timers.getNow() - givenAt);
		onTime += timers.getNow() - startedAt <= ask.targetMs ? 1 : 0;
	};

	const warmUpMs = 4000;
	const measuredMs = 4000;
	for (let at = 0, isMeasured = false; at < warmUpMs + measuredMs;) {
		const gap = -Math.log(1 - random.getRandom());
		at += gap;
		await timers.advance(gap);
		if (!isMeasured && at >= warmUpMs) {
			isMeasured = true;
			onTime = 0;
		}

		void serve();
	}

	return onTime * 1000 / measuredMs;
}

describe('engines that read', () => {
	it('stay as busy when the senders are slow as when they are fast', async () => {
		const fast = await runLoad(4);
		const slow = await runLoad(60);
		expect(slow).to.be.above(fast * 0.9);
	}).timeout(60_000);
});
