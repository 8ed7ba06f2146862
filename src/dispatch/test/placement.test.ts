import {expect} from 'chai';
import {RandomSource} from '../../rates/index.js';
import {choosePlainEngine, engineStage, EngineView} from '../index.js';

/** Engine as it really is; what the entries know of it they measure. */
type SimulatedEngine = {
	readonly id: string;
	meanMs: number;
	/** Whether it may be chosen, such as while no limit on its requests forbids it. */
	isOpen: boolean;
	readonly arrivedAt: number[];
};

/** Entry that knows the engines by its own measurements alone. */
type SimulatedEntry = {readonly views: Map<SimulatedEngine, EngineView>};

type SimulationOptions = {
	readonly meansMs: readonly number[];
	readonly entryCount: number;
	readonly requestsPerSecond: number;
	readonly seed: number;
	/** Whether the entries choose with random numbers. */
	readonly isRandom: boolean;
};

const slots = 16;
const serviceName = 'app';

/** Entries that send plain calls to the same engines in virtual time; none knows of the others. */
class Simulation {
	readonly engines: SimulatedEngine[];
	readonly entries: SimulatedEntry[];
	now = 0;
	readonly #random: RandomSource;
	readonly #requestsPerSecond: number;
	readonly #getRandom: (() => number) | undefined;
	readonly #ends: Array<{readonly at: number; readonly view: EngineView; readonly durationMs: number}> = [];

	constructor({meansMs, entryCount, requestsPerSecond, seed, isRandom}: SimulationOptions) {
		this.#random = new RandomSource(seed);
		this.#getRandom = isRandom ? () => this.#random.getRandom() : undefined;
		this.#requestsPerSecond = requestsPerSecond;
		this.engines = meansMs.map((meanMs, index) => ({
			id: `e${index + 1}`, meanMs, isOpen: true, arrivedAt: [],
		}));
		this.entries = Array.from({length: entryCount}, () => ({views: new Map(this.engines.map(engine => [engine, createView(engine.id)]))}));
	}

	/** Sends requests at random times, each at a random entry, for `durationMs`. */
	run(durationMs: number): void {
		const endsAt = this.now + durationMs;
		for (;;) {
			this.now += -Math.log(1 - this.#random.getRandom()) * 1000 / this.#requestsPerSecond;
			if (this.now >= endsAt) {
				this.now = endsAt;
				return;
			}

			this.#completeEnded();
			this.#send(this.entries[this.#random.pickIndex(this.entries.length)]!);
		}
	}

	/** Computes the share of the requests since `from` that an engine got. */
	computeShare(engine: SimulatedEngine, from: number): number {
		const counts = this.engines.map(({arrivedAt}) => arrivedAt.filter(at => at >= from).length);
		return counts[this.engines.indexOf(engine)]! / counts.reduce((sum, count) => sum + count, 0);
	}

	#send({views}: SimulatedEntry): void {
		const open = this.engines.filter(({isOpen}) => isOpen);
		const view = choosePlainEngine(open.map(engine => views.get(engine)!), new Set(), this.now, this.#getRandom)!;
		const engine = open.find(candidate => views.get(candidate) === view)!;
		const durationMs = engine.meanMs * this.#random.pickBetween(0.7, 1.3);
		view.localRequests++;
		engine.arrivedAt.push(this.now);
		this.#ends.push({at: this.now + durationMs, view, durationMs});
	}

	#completeEnded(): void {
		this.#ends.sort((left, right) => left.at - right.at);
		while (this.#ends.length > 0 && this.#ends[0]!.at <= this.now) {
			const {view, durationMs} = this.#ends.shift()!;
			view.localRequests--;
			view.onDuration(durationMs);
		}
	}
}

function createView(id: string, averageDurationMs?: number): EngineView {
	const view = new EngineView({
		id, address: `${id}:1`, service: serviceName, stage: engineStage.any, slots, isLeaving: false, startedAt: undefined,
	});
	view.averageDurationMs = averageDurationMs;
	return view;
}

/** Chooses an engine for each of several requests that all end before the next one, and counts the choices. */
function countChosen(views: readonly EngineView[], requestCount: number, getRandom?: () => number): Map<EngineView, number> {
	const counts = new Map(views.map(view => [view, 0]));
	for (let index = 0; index < requestCount; index++) {
		const view = choosePlainEngine(views, new Set(), index * 10, getRandom)!;
		counts.set(view, counts.get(view)! + 1);
	}

	return counts;
}

describe('choosePlainEngine', () => {
	for (const seed of [1, 2, 3, 4]) {
		for (const entryCount of [1, 9, 200]) {
			const isRandom = seed % 2 === 1;
			const createSimulation = (meansMs: readonly number[]) => new Simulation({
				meansMs, entryCount, requestsPerSecond: 90, seed, isRandom,
			});
			const title = `(${entryCount} entries, seed ${seed}${isRandom ? ', random turns' : ''})`;

			it(`shares requests among engines that are alike ${title}`, () => {
				const simulation = createSimulation([50, 50, 50]);
				simulation.run(20_000);
				for (const engine of simulation.engines) {
					expect(simulation.computeShare(engine, 0)).to.be.within(0.22, 0.45);
				}
			});

			it(`sends requests again to an engine whose limit has ended, and not all of them ${title}`, () => {
				const simulation = createSimulation([50, 50, 50]);
				const [limited] = simulation.engines;
				limited!.meanMs = 60;
				simulation.run(10_000);
				limited!.isOpen = false;
				simulation.run(10_000);
				limited!.isOpen = true;
				const from = simulation.now;
				simulation.run(2500);
				expect(simulation.computeShare(limited!, from)).to.be.above(0.12);
				const counts = Array.from({length: 5}, (_, index) => limited!.arrivedAt.filter(at => at >= from + (index * 500) && at < from + ((index + 1) * 500)).length);
				expect(Math.max(...counts), `requests in each half second: ${counts.join(', ')}`).to.be.at.most(30);
			});

			it(`sends clearly less to an engine that is four times as slow ${title}`, () => {
				const simulation = createSimulation([50, 200, 50]);
				simulation.run(30_000);
				expect(simulation.computeShare(simulation.engines[1]!, 10_000)).to.be.within(0.003, 0.12);
			});
		}
	}

	it('sees within 10 s that an engine has become as fast as the others', () => {
		const simulation = new Simulation({
			meansMs: [50, 400, 50], entryCount: 1, requestsPerSecond: 90, seed: 1, isRandom: true,
		});
		const [, slow] = simulation.engines;
		simulation.run(10_000);
		expect(simulation.computeShare(slow!, 5000)).to.be.below(0.03);
		slow!.meanMs = 50;
		simulation.run(10_000);
		const from = simulation.now;
		simulation.run(5000);
		expect(simulation.computeShare(slow!, from)).to.be.above(0.2);
	});

	it('shares requests without a random source as well, in the same way each time', () => {
		const chooseAll = () => [...countChosen(['e1', 'e2', 'e3'].map(id => createView(id, 50)), 300).values()];
		expect(chooseAll()).to.deep.equal([100, 100, 100]);
		expect(chooseAll()).to.deep.equal(chooseAll());
	});

	it('sends no more than its share to an engine of which nothing is known', () => {
		const unknown = createView('e2');
		const counts = countChosen([createView('e1', 300), unknown, createView('e3', 310)], 30);
		expect(counts.get(unknown)).to.be.within(5, 12);
	});

	it('avoids an engine that is nearly full while others have room', () => {
		const nearlyFull = createView('e1', 50);
		const views = [nearlyFull, createView('e2', 50), createView('e3', 50)];
		nearlyFull.localRequests = slots - 2;
		expect(countChosen(views, 300, () => 0).get(nearlyFull)).to.equal(0);
		nearlyFull.localRequests = slots;
		expect(choosePlainEngine([nearlyFull], new Set(), 0)).to.equal(undefined);
	});

	it('uses a slow engine where the faster one is more loaded than it is slower', () => {
		const fast = createView('e1', 50);
		const slow = createView('e2', 150);
		fast.localRequests = (slots / 2) + 1;
		expect(countChosen([fast, slow], 100).get(fast)).to.be.above(60);
		fast.localRequests = (slots / 2) + 4;
		expect(countChosen([fast, slow], 100).get(fast)).to.equal(0);
	});

	it('sends clearly less to an engine that fails half of its requests', () => {
		const failing = createView('e1', 50);
		failing.health.failureShare = 0.5;
		expect(countChosen([failing, createView('e2', 50), createView('e3', 50)], 300).get(failing)).to.be.below(15);
	});

	it('skips engines that were tried', () => {
		const views = ['e1', 'e2'].map(id => createView(id, 50));
		for (let index = 0; index < 5; index++) {
			expect(choosePlainEngine(views, new Set([views[0]!]), index)).to.equal(views[1]);
		}
	});
});
