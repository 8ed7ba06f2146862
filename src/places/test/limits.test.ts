import {expect} from 'chai';
import {listAllocators} from '../index.js';
import {LimitWorld} from './limitworld.js';
import type {LimitedEngine, LimitEntry} from './limitworld.js';

const unlimited = Number.POSITIVE_INFINITY;

for (const isPlain of [false, true]) {
	describe(`limits on requests for all entries, ${isPlain ? 'plain calls' : 'generations'}`, () => {
		const createWorld = (entryCount: number, perSecond: number, seed = 1) => {
			const world = new LimitWorld(entryCount, {isPlain, seed});
			for (const entry of world.entries) {
				entry.perSecond = perSecond;
			}

			return world;
		};

		/** Checks that every request of two seconds is served. */
		const expectAllServed = async (world: LimitWorld) => {
			world.results.length = 0;
			await world.run(2000);
			expect(world.results.length).to.be.above(0);
			expect(world.results.filter(({isServed}) => !isServed)).to.deep.equal([]);
		};

		/** Index of the entry that allocates for all. */
		const findFirst = (world: LimitWorld) => {
			const [first] = listAllocators('llm', world.entries[0]!.live, 1);
			return world.entries.findIndex(({address}) => address === first);
		};

		/** Runs with unlimited load, then with a limit, and checks that it is kept and used from the third second on. */
		const expectKeptAndUsed = async (world: LimitWorld, engine: LimitedEngine, perSecond: number, {durationMs = 12_000, minUse = 0.85} = {}) => {
			await world.run(1000);
			world.setLimit(engine, perSecond);
			await world.run(4000);
			const from = world.timers.getNow();
			await world.run(durationMs);
			expect(world.findBreach(engine)).to.equal(undefined);
			expect(world.computeRate(engine, from)).to.be.at.least(perSecond * minUse);
		};

		it('are kept and used by 9 entries', async () => {
			const world = createWorld(9, 4);
			await expectKeptAndUsed(world, world.addEngine('d1', unlimited), 7.2);
		});

		it('are kept and used where one entry has all the load', async () => {
			const world = createWorld(9, 0);
			world.entries[4]!.perSecond = 40;
			await expectKeptAndUsed(world, world.addEngine('d1', unlimited), 10.8);
		});

		it('are kept and used where one entry has most of the load', async () => {
			const world = createWorld(9, 0.5);
			world.entries[2]!.perSecond = 30;
			await expectKeptAndUsed(world, world.addEngine('d1', unlimited), 10.8);
		});

		it('below one a second are kept and used by 60 entries', async () => {
			const world = createWorld(60, 0.05);
			await expectKeptAndUsed(world, world.addEngine('d1', unlimited), 0.4, {durationMs: 60_000});
		});

		it('are kept by 195 entries with bounded messages', async () => {
			const world = createWorld(195, 0.1);
			const engine = world.addEngine('d1', unlimited);
			await world.run(1000);
			world.setLimit(engine, 10);
			await world.run(100);
			for (const entry of world.entries) {
				entry.perSecond = 5;
			}

			await world.run(4000);
			const messagesBefore = world.network.messageCount;
			await world.run(4000);
			expect(world.findBreach(engine)).to.equal(undefined);
			// Pings and their answers of 195 entries are 1,300 a second.
			expect((world.network.messageCount - messagesBefore) / 4).to.be.below(4500);
		});

		it('refuse at once what no engine can take, with the time at which one can', async () => {
			const world = createWorld(3, 10);
			const engine = world.addEngine('d1', 5);
			await world.run(4000);
			world.results.length = 0;
			await world.run(6000);
			const refused = world.results.filter(({isServed}) => !isServed);
			expect(refused.length).to.be.above(world.results.length / 2);
			for (const {reason, tookMs, retryAfterMs} of refused) {
				expect(reason).to.equal('limited');
				expect(tookMs).to.be.below(20);
				expect(retryAfterMs).to.be.above(0);
			}

			expect(world.computeRate(engine, 4000)).to.be.within(4.2, 6);
		});

		it('leave the rest to engines without one at once', async () => {
			const world = createWorld(3, 10);
			const engine = world.addEngine('d1', 5);
			world.addEngine('d2', unlimited);
			await world.run(8000);
			expect(world.findBreach(engine)).to.equal(undefined);
			expect(world.results.filter(({isServed}) => !isServed).length).to.equal(0);
			expect(Math.max(...world.results.map(({tookMs}) => tookMs))).to.be.below(40);
		});

		it('that change are followed, and forgotten when they end', async () => {
			const world = createWorld(9, 6);
			const engine = world.addEngine('d1', 20);
			for (const perSecond of [20, 4, 12, 2, 9]) {
				world.setLimit(engine, perSecond);
				await world.run(5000);
			}

			expect(world.findBreach(engine)).to.equal(undefined);
			world.setLimit(engine, unlimited);
			await world.run(1000);
			await expectAllServed(world);
		});

		it('that end while nothing is sent do not hold requests back for long', async () => {
			const world = createWorld(9, 6);
			const engine = world.addEngine('d1', 0.5);
			await world.run(5000);
			for (const entry of world.entries) {
				entry.perSecond = 0;
			}

			await world.run(20_000);
			world.setLimit(engine, unlimited);
			await world.run(10_000);
			for (const entry of world.entries) {
				entry.perSecond = 6;
			}

			await world.run(500);
			await expectAllServed(world);
		});

		it('hold for an engine that comes back under another id at its address, until it says otherwise', async () => {
			const world = createWorld(9, 4);
			const engine = world.addEngine('d1', 6);
			await world.run(5000);
			for (const {fleet} of world.entries) {
				fleet.remove('d1');
			}

			await world.run(1000);
			const returned = world.addEngine('d2', 6, engine.address);
			returned.limits[0] = {from: engine.limits[0]!.from, perSecond: 6};
			await world.run(6000);
			expect(world.findBreach(returned)).to.equal(undefined);
			world.setLimit(returned, unlimited);
			await world.run(1000);
			await expectAllServed(world);
		});

		for (const isFirstCut of [false, true]) {
			it(`are kept while a failure domain ${isFirstCut ? 'with' : 'without'} the first allocator is cut off from the others, and used again after`, async () => {
				const world = createWorld(9, 10);
				const engine = world.addEngine('d1', 16);
				await world.run(4000);
				const {live} = world.entries[0]!;
				const firstDomain = live[findFirst(world)]!.domain;
				const cutDomain = isFirstCut ? firstDomain : live.find(({domain}) => domain !== firstDomain)!.domain;
				world.network.isolated = new Set(live.filter(({domain}) => domain === cutDomain).map(({address}) => address));
				await world.run(20_000);
				world.network.isolated = new Set();
				await world.run(4000);
				expect(world.findBreach(engine)).to.equal(undefined);
				const from = world.timers.getNow();
				await world.run(8000);
				expect(world.computeRate(engine, from)).to.be.above(16 * 0.85);
			});
		}

		it('are kept while entries are killed and return, the first allocator too', async () => {
			const world = createWorld(9, 10);
			const engine = world.addEngine('d1', 16);
			await world.run(4000);
			const first = findFirst(world);
			for (let round = 0; round < 4; round++) {
				const index = round % 2 === 0 ? first : (first + round) % 9;
				world.abortEntry(index);
				await world.run(2000);
				world.restart(index);
				await world.run(2500);
			}

			expect(world.findBreach(engine)).to.equal(undefined);
			const from = world.timers.getNow();
			await world.run(8000);
			expect(world.computeRate(engine, from)).to.be.above(16 * 0.85);
		});

		it('are kept while entries learn of another choice of allocator at different times', async () => {
			const world = createWorld(9, 10);
			const engine = world.addEngine('d1', 16);
			await world.run(4000);
			const without = world.entries[0]!.live.filter((_, index) => index !== findFirst(world));
			const everyone = world.entries[0]!.live;
			for (const live of [without, everyone]) {
				for (const entry of world.entries) {
					Object.assign(entry satisfies LimitEntry, {live});
					await world.run(200);
				}

				await world.run(3000);
			}

			expect(world.findBreach(engine)).to.equal(undefined);
		});
	});
}
