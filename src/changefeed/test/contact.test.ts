import {expect} from 'chai';
import fc from 'fast-check';
import {DirectNetwork} from '../../peers/test/direct.js';
import {allocatorMessageKind} from '../../places/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	ChangeFollower, ChangePublisher, ContactAsker, listFallbackReaders, RegistrationGrace, StoreContact,
} from '../index.js';
import type {ContactSpan} from '../index.js';

const seed = 45;
const maxSilenceMs = 1200;

describe('StoreContact', () => {
	it('takes answers in a row for no outage, however long a watch waited', () => {
		const contact = new StoreContact(maxSilenceMs);
		for (const now of [0, 1900, 3800, 5700]) {
			contact.onOwnAnswer(now);
		}

		expect([contact.outage, contact.span]).to.deep.equal([undefined, {since: 0, until: 5700}]);
	});

	it('takes the time up to the first answer after a failure for an outage', () => {
		const contact = new StoreContact(maxSilenceMs);
		contact.onOwnAnswer(1000);
		contact.onOwnFailure();
		contact.onOwnAnswer(6000);
		contact.onOwnAnswer(7000);
		expect([contact.outage, contact.span]).to.deep.equal([{startedAt: 1000, endedAt: 6000}, {since: 6000, until: 7000}]);
	});

	it('takes a long time without any call for an outage, as after a freeze', () => {
		const contact = new StoreContact(maxSilenceMs);
		contact.onOwnAnswer(1000);
		contact.onOwnAnswer(11_000);
		expect(contact.outage).to.deep.equal({startedAt: 1000, endedAt: 11_000});
	});

	it('knows that it was no outage when another entry was answered all along', () => {
		const contact = new StoreContact(maxSilenceMs);
		contact.onOwnAnswer(1000);
		contact.onOwnFailure();
		contact.onOwnAnswer(6000);
		contact.onAnswers({since: -5000, until: 5900});
		expect([contact.outage, contact.span]).to.deep.equal([undefined, {since: -5000, until: 6000}]);
	});

	it('takes an outage as ended when the first entry was answered again', () => {
		const contact = new StoreContact(maxSilenceMs);
		contact.onOwnAnswer(1000);
		contact.onOwnFailure();
		contact.onOwnAnswer(6000);
		contact.onAnswers({since: 4500, until: 6000});
		contact.onAnswers({since: 0, until: 1500});
		expect(contact.outage).to.deep.equal({startedAt: 1500, endedAt: 4500});
	});

	// Guards against a live engine that is dropped after an outage, and a gone one that is kept after none.
	it('finds an outage exactly where no answer that it was told of falls into a longer silence', () => {
		const times = fc.uniqueArray(fc.integer({min: 0, max: 12_000}), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(times, fc.array(times, {maxLength: 3}), (own, others) => {
			const contact = new StoreContact(maxSilenceMs);
			const ownTimes = [...own].sort((left, right) => left - right);
			const spans: ContactSpan[] = [];
			for (const now of ownTimes) {
				contact.onOwnFailure();
				contact.onOwnAnswer(now);
				spans.push({since: now, until: now});
			}

			const last = ownTimes.at(-1)!;
			for (const other of others.map(list => [...list].sort((left, right) => left - right).filter(at => at <= last))) {
				if (other.length > 0) {
					const latest = {since: findLatestStart(other), until: other.at(-1)!};
					contact.onAnswers(latest);
					spans.push(latest);
				}
			}

			expect(contact.outage?.endedAt).to.equal(findLatestEnd(spans));
		}), {seed, numRuns: 5000});
	});
});

/** Finds the start of the latest run of answers without a longer silence, in sorted times. */
function findLatestStart(times: readonly number[]): number {
	let since = times[0]!;
	for (const [index, at] of times.entries()) {
		if (index > 0 && at - times[index - 1]! > maxSilenceMs) {
			since = at;
		}
	}

	return since;
}

/** Finds the end of the latest silence that no span covers; `undefined` when none is longer than allowed. */
function findLatestEnd(spans: readonly ContactSpan[]): number | undefined {
	let end: number | undefined;
	let reached = Number.POSITIVE_INFINITY;
	for (const {since, until} of [...spans].sort((left, right) => left.since - right.since)) {
		if (since - reached > maxSilenceMs) {
			end = since;
		}

		reached = Math.max(Number.isFinite(reached) ? reached : until, until);
	}

	return end;
}

describe('RegistrationGrace', () => {
	const createGrace = () => {
		const timers = new ManualTimers();
		const contact = new StoreContact(maxSilenceMs);
		const outages: number[] = [];
		const grace = new RegistrationGrace(timers, contact, ({startedAt, endedAt}) => {
			outages.push(endedAt - startedAt);
		});
		let ends = 0;
		grace.subscribe(() => {
			ends++;
		});
		return {
			timers, contact, grace, outages, countEnds: () => ends,
		};
	};

	const runOutage = async ({timers, contact, grace}: ReturnType<typeof createGrace>) => {
		grace.onOwnAnswer();
		contact.onOwnFailure();
		await timers.advance(5000);
		grace.onOwnAnswer();
	};

	it('lasts two seconds from the end of an outage, and tells of its end then', async () => {
		const world = createGrace();
		await runOutage(world);
		expect([world.grace.isActive, world.outages]).to.deep.equal([true, [5000]]);
		await world.timers.advance(1990);
		world.grace.onOwnAnswer();
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([true, 0]);
		await world.timers.advance(20);
		expect([world.grace.isActive, world.countEnds(), world.outages]).to.deep.equal([false, 1, [5000]]);
	});

	it('ends at once when another entry was answered all along', async () => {
		const world = createGrace();
		await runOutage(world);
		world.grace.onAnswers({since: 0, until: world.timers.getNow()});
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([false, 1]);
	});

	it('does not end early when the store came back from an older copy, whoever was answered', async () => {
		const world = createGrace();
		await runOutage(world);
		world.grace.onStoreReplaced(500);
		world.grace.onAnswers({since: 0, until: world.timers.getNow()});
		await world.timers.advance(2490);
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([true, 0]);
		await world.timers.advance(20);
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([false, 1]);
	});

	it('does not end while the store is away again', async () => {
		const world = createGrace();
		await runOutage(world);
		await world.timers.advance(500);
		world.contact.onOwnFailure();
		world.grace.onStoreReplaced(1500);
		await world.timers.advance(6000);
		expect(world.countEnds()).to.equal(0);
		world.grace.onOwnAnswer();
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([true, 0]);
		await world.timers.advance(2010);
		expect([world.grace.isActive, world.countEnds()]).to.deep.equal([false, 1]);
	});

	it('does not begin by what others tell while this process has not lost the store', async () => {
		const world = createGrace();
		world.grace.onOwnAnswer();
		await world.timers.advance(1000);
		world.grace.onOwnAnswer();
		world.grace.onAnswers({since: 900, until: 950});
		expect([world.grace.isActive, world.outages]).to.deep.equal([false, []]);
	});
});

describe('ContactAsker', () => {
	it('tells the times of an answer in local time, and closes the connections that are not answered', async () => {
		const timers = new ManualTimers();
		const network = new DirectNetwork();
		await timers.advance(10_000);
		let span: ContactSpan | undefined = {since: 2000, until: 9700};
		void network.serve('other:1', link => new ChangePublisher(timers, () => span).serve(link));
		const told: ContactSpan[] = [];
		const asker = new ContactAsker({
			timers, network, onContact(_address, answer) {
				told.push(answer);
			},
		});
		asker.ask(['other:1']);
		await timers.advance(0);
		expect(told).to.deep.equal([{since: 2000, until: 9700}]);
		span = undefined;
		asker.ask(['other:1']);
		await timers.advance(0);
		network.isSilent = true;
		asker.ask(['other:1']);
		await timers.advance(1100);
		expect(told).to.have.lengthOf(1);
		expect([network.openCount, network.countOpen()]).to.deep.equal([3, 0]);
	});

	// Guards against an entry that nobody can ask, or follow, as its slot allocator greets each connection with what it knows.
	it('passes over messages of the slot allocator at the other end, as a follower does', async () => {
		const timers = new ManualTimers();
		const network = new DirectNetwork();
		const publisher = new ChangePublisher(timers, () => ({since: 0, until: timers.getNow()}));
		publisher.publish({from: {revision: 0, era: 1}, to: {revision: 3, era: 1}, changes: []});
		void network.serve('other:1', link => {
			const handlers = publisher.serve(link);
			return {
				onMessage(items) {
					link.send([allocatorMessageKind.limits, 0, 'other', []]);
					handlers.onMessage(items);
				},
				onClose: handlers.onClose,
			};
		});
		const told: ContactSpan[] = [];
		new ContactAsker({
			timers, network, onContact(_address, answer) {
				told.push(answer);
			},
		}).ask(['other:1']);
		const reasons: string[] = [];
		const follower = new ChangeFollower({
			timers, network, listReaders: () => ['other:1'], onReaderChange(_address, change) {
				reasons.push(change);
			},
		});
		const watch = follower.watch({revision: 3, era: 1}, 100);
		await timers.advance(150);
		const followed = await watch;
		expect([told.length, followed?.position.revision, reasons]).to.deep.equal([1, 3, ['followed']]);
		publisher.stop();
	});
});

describe('listFallbackReaders', () => {
	const createEntries = (domain: string, count: number) => Array.from({length: count}, (_, index) => ({vm: `${domain}-${index}`, address: `${domain}.${index}:1`, domain}));

	it('prefers the own failure domain, names entries of several, and never the entry itself', () => {
		const entries = [...createEntries('one', 3), ...createEntries('two', 2), ...createEntries('three', 1)];
		const readers = listFallbackReaders(entries[0]!, entries);
		expect(readers).to.have.lengthOf(5);
		expect(readers).not.to.include('one.0:1');
		expect(readers.slice(0, 2).every(address => address.startsWith('one'))).to.equal(true);
		expect(new Set(readers.map(address => address.split('.')[0]))).to.deep.equal(new Set(['one', 'two', 'three']));
	});

	it('names the entries that read the store for others where there are such, and spreads over the others where it is one itself', () => {
		const entries = [...createEntries('one', 9), ...createEntries('two', 9)];
		const readersOf = entries.map(entry => listFallbackReaders(entry, entries));
		const counts = readersOf.map(readers => readers.length).sort((left, right) => left - right);
		expect(counts).to.deep.equal([...Array.from({length: 16}, () => 2), 3, 3]);
	});
});
