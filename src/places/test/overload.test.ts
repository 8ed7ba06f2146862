import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet, QueueRefusal,
} from '../../dispatch/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {PlaceKeeper, RecentRefusals} from '../index.js';
import type {PlaceAsk} from '../index.js';

const ask: PlaceAsk = {
	service: 'llm', targetMs: 180, deadlineMs: 1900, patienceMs: 2000, serviceMs: 40, prefixBlocks: [], uniqueTokens: 5000, outputTokens: 2, engineTokens: 1_400_000, tried: [],
};
/** Time of one engine for one request, in milliseconds: ten engines serve five hundred a second. */
const workMs = 20;
const engines = 10;
const entries = 80;

/** Many entries before one keeper. */
class Overload {
	asked = 0;
	given = 0;
	refused = 0;
	readonly #timers = new ManualTimers();
	readonly #random = new RandomSource(3);
	readonly #keeper: PlaceKeeper;
	readonly #refusals: RecentRefusals[];
	readonly #freeAt = new Map<string, number>();

	constructor(readonly isThinned: boolean) {
		const fleet = new Fleet();
		for (let index = 0; index < engines; index++) {
			fleet.onRegistration({
				id: `e${index}`, address: '10.0.0.1:80', service: 'llm', stage: engineStage.any, slots: 8, isLeaving: false, startedAt: 1,
			});
		}

		this.#keeper = new PlaceKeeper({
			timers: this.#timers, fleet, pickUnit: () => this.#random.getRandom(), getShare: () => 1,
		});
		this.#refusals = Array.from({length: entries}, () => new RecentRefusals(this.#timers, () => this.#random.getRandom()));
	}

	/** Sends requests at a rate and returns what was asked, given and refused meanwhile. */
	async runLoad(perSecond: number, forMs: number): Promise<{readonly asked: number; readonly given: number; readonly refused: number}> {
		const {asked, given, refused} = this;
		for (let at = 0; at < forMs;) {
			const gap = -Math.log(1 - this.#random.getRandom()) * 1000 / perSecond;
			at += gap;
			await this.#timers.advance(gap);
			void this.#serve(this.#refusals[this.#random.pickIndex(entries)]!);
		}

		return {asked: this.asked - asked, given: this.given - given, refused: this.refused - refused};
	}

	async #serve(refusals: RecentRefusals): Promise<void> {
		try {
			if (this.isThinned) {
				refusals.check(ask);
			}
		} catch {
			this.refused++;
			return;
		}

		this.asked++;
		const place = await this.#keeper.tryAcquire(ask, new AbortController().signal);
		if (place instanceof QueueRefusal) {
			this.refused++;
			refusals.onAnswer(ask, false, this.#keeper.computeGivenPart(ask));
			return;
		}

		this.given++;
		refusals.onAnswer(ask, true, this.#keeper.computeGivenPart(ask));
		const {writer} = place.engines;
		const freeAt = Math.max(this.#timers.getNow(), this.#freeAt.get(writer) ?? 0) + workMs;
		this.#freeAt.set(writer, freeAt);
		await this.#timers.sleep(freeAt - this.#timers.getNow());
		place.onRead(engineOutcome.answered);
		place.release(engineOutcome.answered);
	}
}

describe('many entries before one keeper', () => {
	it('ask little more than there are places under five times the load, and no fewer callers get one', async () => {
		const [plain, thinned] = [new Overload(false), new Overload(true)];
		await plain.runLoad(2500, 1000);
		await thinned.runLoad(2500, 1000);
		const all = await plain.runLoad(2500, 2000);
		const some = await thinned.runLoad(2500, 2000);
		expect(some.asked).to.be.below(some.given * 1.8);
		expect(some.given).to.be.above(all.given * 0.97);
	}).timeout(60_000);

	it('refuse hardly anyone once the load is less than there are places', async () => {
		const thinned = new Overload(true);
		await thinned.runLoad(2500, 2000);
		await thinned.runLoad(350, 500);
		const after = await thinned.runLoad(350, 2000);
		expect(after.refused).to.be.below(after.given * 0.02);
	}).timeout(60_000);

	it('refuse few more than they must where the load is a little above the places', async () => {
		const [plain, thinned] = [new Overload(false), new Overload(true)];
		await plain.runLoad(550, 1000);
		await thinned.runLoad(550, 1000);
		const all = await plain.runLoad(550, 4000);
		const some = await thinned.runLoad(550, 4000);
		expect(some.given).to.be.above(all.given * 0.97);
	}).timeout(60_000);
});
