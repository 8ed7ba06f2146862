import {expect} from 'chai';
import {NotRunError} from '../../errors/index.js';
import {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {AdmissionQueue, CustomerShares} from '../index.js';

const slots = 10;
/** Average time for which a request holds a slot, in milliseconds, and the requests a second that all slots serve. */
const workMs = 200;
const capacityPerSecond = slots * 1000 / workMs;
const millisecondsPerSecond = 1000;

type Load = {
	/** Offered requests, relative to the capacity. */
	readonly offered: number;
	/** Share of each customer in the requests, by name. */
	readonly shares: Readonly<Record<string, number>>;
	/** Customer whose requests come in bursts: twice as many for 2 s, then none for 2 s. */
	readonly burstingCustomer?: string;
	readonly seed: number;
	readonly durationMs?: number;
	/** Name that the queue is told for each customer. Default: its own. */
	readonly getName?: (customer: string) => string | undefined;
};

type Tally = {asked: number; served: number};

/** Plays requests of several customers through the queue of an engine in virtual time; returns how many of each customer were served, and the order of all grants. */
async function runLoad({offered, shares, burstingCustomer, seed, durationMs = 60_000, getName = customer => customer}: Load): Promise<{readonly tallies: Map<string, Tally>; readonly order: string}> {
	const timers = new ManualTimers();
	const random = new RandomSource(seed);
	const queue = new AdmissionQueue<number>(timers, () => random.getRandom());
	const tallies = new Map(Object.keys(shares).map(customer => [customer, {asked: 0, served: 0}]));
	const granted: number[] = [];
	let busy = 0;
	const serve = async (customer: string, index: number, holdMs: number) => {
		const tally = tallies.get(customer)!;
		tally.asked++;
		const now = timers.getNow();
		try {
			await queue.wait({
				targetAt: now + 600, deadlineAt: now + 4000, firstByteDeadlineAt: now + 4000, queuedAt: now, serviceMs: 50, group: 'one', customer: getName(customer),
			}, () => {
				if (busy === slots) {
					return undefined;
				}

				busy++;
				granted.push(index);
				timers.startTimer(holdMs, () => {
					busy--;
					queue.dispatch();
				});
				return index;
			}, new AbortController().signal);
			tally.served++;
		} catch (error) {
			if (!(error instanceof NotRunError)) {
				throw error;
			}
		}
	};

	const arrivals = Object.entries(shares).flatMap(([customer, share]) => {
		const times: number[] = [];
		const perMs = offered * capacityPerSecond * share / millisecondsPerSecond;
		for (let at = 0; at < durationMs;) {
			at -= Math.log(1 - random.getRandom()) / perMs;
			// A burst has the requests of 4 s in 2 s.
			times.push(customer === burstingCustomer ? (Math.floor(at / 4000) * 4000) + ((at % 4000) / 2) : at);
		}

		return times.map(at => ({at, customer, holdMs: workMs * (0.5 + random.getRandom())}));
	}).sort((left, right) => left.at - right.at);
	for (const [index, {at, customer, holdMs}] of arrivals.entries()) {
		if (at > timers.getNow()) {
			await timers.advance(at - timers.getNow());
		}

		void serve(customer, index, holdMs);
	}

	await timers.advance(5000);
	return {tallies, order: granted.join(' ')};
}

const computePart = (tallies: readonly Tally[]) => tallies.reduce((sum, {served}) => sum + served, 0) / tallies.reduce((sum, {asked}) => sum + asked, 0);

/** Plays a load and computes the part of its requests that was served: of the customer `large`, of all others together, and of the customer served least, relative to all. */
async function runParts(load: Load): Promise<{readonly large: number; readonly others: number; readonly least: number}> {
	const {tallies} = await runLoad(load);
	const parts = [...tallies].map(([, tally]) => computePart([tally]));
	return {
		large: computePart([tallies.get('large')!]), others: computePart([...tallies].filter(([name]) => name !== 'large').map(([, tally]) => tally)),
		least: Math.min(...parts) / computePart([...tallies.values()]),
	};
}

function createShares(largeShare: number, otherCount: number): Record<string, number> {
	const others = Array.from({length: otherCount}, (_, index): [string, number] => [`c${index}`, (1 - largeShare) / otherCount]);
	return Object.fromEntries([['large', largeShare], ...others]);
}

// Guards against a customer whose burst takes the capacity from all others, and against one that gets nothing because it is large.
describe('customers that share too little capacity', function () {
	this.timeout(60_000);

	for (const seed of [1, 2, 3]) {
		it(`are served nearly in full beside one that sends 60% of the requests in bursts (seed ${seed})`, async () => {
			const load: Load = {
				offered: 1.5, shares: createShares(0.6, 20), burstingCustomer: 'large', seed,
			};
			const {large, others, least} = await runParts(load);
			expect(others, 'others').to.be.at.least(0.95);
			// Of the 90 requests a second of a burst, the others leave capacity for 20.
			expect(large, 'large').to.be.at.least(20 / 90);
			expect(least, 'least, relative to all').to.be.above(0.25);
			const unfair = await runParts({...load, getName: () => undefined});
			expect(unfair.others, 'without customers').to.be.below(0.85);
		});
	}

	it('are never served less than a quarter as often as all, also a large one among many that fill the capacity', async () => {
		const {least} = await runParts({offered: 3, shares: createShares(0.67, 85), seed: 4});
		expect(least).to.be.above(0.25);
	});

	it('are served in the same order as before when all requests are of one customer', async () => {
		const load: Load = {
			offered: 1.5, shares: createShares(0.6, 20), burstingCustomer: 'large', seed: 5, durationMs: 20_000,
		};
		const [none, one] = [await runLoad({...load, getName: () => undefined}), await runLoad({...load, getName: () => 'one'})];
		expect(one.order).to.equal(none.order);
		expect(none.order.length).to.be.above(1000);
	});
});

describe('CustomerShares', () => {
	it('lets a customer yield only while it has more than its share of the recent work', () => {
		const shares = new CustomerShares();
		for (let now = 0; now < 5000; now += 100) {
			shares.onRequest('large', now);
			shares.onGrant('large', 3, now);
			shares.onRequest('small', now);
			shares.onGrant('small', 1, now);
		}

		shares.onRequest('new', 5000);
		expect(['large', 'small', 'new', 'unknown'].map(name => shares.computeRank(name, 5000))).to.deep.equal([1, 0, 0, 0]);
		for (let now = 5000; now < 60_000; now += 100) {
			shares.onRequest('small', now);
			shares.onGrant('small', 1, now);
		}

		shares.onRequest('large', 60_000);
		expect(shares.computeRank('large', 60_000)).to.equal(0);
	});

	it('keeps a bounded number of customers, those that have asked last', () => {
		const shares = new CustomerShares();
		for (let index = 0; index < 5000; index++) {
			shares.onRequest(`c${index}`, index);
		}

		expect(shares.size).to.equal(1024);
		shares.onGrant('c1', 1, 5000);
		expect(shares.computeRank('c1', 5000)).to.equal(0);
	});
});

describe('a queue in which one customer has received more than the others', () => {
	/** Lets `large` receive work, and then queues requests of the given customers, in this order; returns who was served or refused, in order. */
	const runQueue = async (customers: readonly string[], slotCount: number) => {
		const timers = new ManualTimers();
		const queue = new AdmissionQueue<string>(timers, () => 0.5);
		const ended: string[] = [];
		let free = 50;
		const wait = async (customer: string, name: string) => {
			const now = timers.getNow();
			const result = await queue.tryWait({
				targetAt: now + 60_000, deadlineAt: now + 90_000, firstByteDeadlineAt: now + 90_000, queuedAt: now, serviceMs: 1, group: 'one', customer,
			}, () => {
				if (free === 0) {
					return undefined;
				}

				free--;
				return name;
			}, new AbortController().signal);
			ended.push(typeof result === 'string' ? result : `${name} ${result.reason}`);
		};

		for (let index = 0; index < 49; index++) {
			await wait('large', '');
		}

		await wait('small', '');
		ended.length = 0;
		for (const [index, customer] of customers.entries()) {
			void wait(customer, `${customer} ${index}`);
			await timers.advance(1);
		}

		free = slotCount;
		queue.dispatch();
		await timers.advance(1);
		return ended;
	};

	it('serves the others first, and those of one customer in their order', async () => {
		expect(await runQueue(['large', 'large', 'small', 'large', 'small'], 4)).to.deep.equal(['small 2', 'small 4', 'large 0', 'large 1']);
	});

	it('refuses the last one of that customer for another when it is full', async () => {
		const customers = [...Array.from({length: 256}, () => 'large'), 'large', 'small'];
		expect(await runQueue(customers, 1)).to.deep.equal(['large 256 queue_full', 'large 255 queue_full', 'small 257']);
	});
});
