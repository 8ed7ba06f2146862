import {expect} from 'chai';
import fc from 'fast-check';
import {DirectNetwork} from '../../peers/test/direct.js';
import {ManualTimers} from '../../timers/index.js';
import {
	ChangeFollower, ChangePublisher, chooseReader, parseFeedItems, toFeedItems,
} from '../index.js';
import type {FollowedChanges, StoreChange, StorePosition} from '../index.js';

const seed = 31;
const readerAddress = 'reader:1';

/** A store that answers at once, an entry that reads it and one that follows it. */
class FeedWorld {
	readonly timers = new ManualTimers();
	readonly network = new DirectNetwork();
	/** Since when the store has been answering the reader, monotonic, in milliseconds. */
	answeringSince = 0;
	readonly publisher = new ChangePublisher(this.timers, () => ({since: this.answeringSince, until: this.timers.getNow()}));
	readonly reasons: string[] = [];
	readonly log: StoreChange[] = [];
	reader: string | undefined = readerAddress;
	era: number | undefined = 1;
	/** What the follower knows of the store. */
	readonly known = new Map<string, string>();
	readonly follower = new ChangeFollower({
		timers: this.timers,
		network: this.network,
		listReaders: () => this.reader === undefined ? [] : [this.reader],
		onReaderChange: (_address, change) => {
			this.reasons.push(change);
		},
	});

	storeReads = 0;
	position: StorePosition = {revision: 0, era: 1};
	readerPosition: StorePosition = {revision: 0, era: 1};

	constructor() {
		void this.network.serve(readerAddress, link => this.publisher.serve(link));
		this.readStore();
	}

	write(key: string, value: string | undefined): void {
		this.log.push({key, value, revision: this.log.length + 1});
	}

	/** Lets the reader read the store. */
	readStore(): void {
		const to = {revision: this.log.length, era: this.era};
		this.publisher.publish({from: this.readerPosition, to, changes: this.log.slice(this.readerPosition.revision)});
		this.readerPosition = to;
	}

	/** Lets the follower learn what is new, from the reader or from the store; returns whether it was the reader. */
	async watch(waitMs = 50): Promise<boolean> {
		const ended: Array<FollowedChanges | undefined> = [];
		const wait = async () => {
			ended.push(await this.follower.watch(this.position, waitMs));
		};

		void wait();
		await this.timers.advance(0);
		for (let waitedMs = 0; ended.length === 0 && waitedMs <= waitMs; waitedMs += 10) {
			await this.timers.advance(10);
		}

		const [followed] = ended;
		const to = followed?.position ?? {revision: this.log.length, era: this.era};
		const changes = followed?.changes ?? this.log.slice(this.position.revision);
		this.storeReads += followed ? 0 : 1;
		for (const {key, value} of changes) {
			if (value === undefined) {
				this.known.delete(key);
			} else {
				this.known.set(key, value);
			}
		}

		this.position = to;
		return followed !== undefined;
	}

	/** Returns the values that the store has. */
	getState(): Map<string, string> {
		const state = new Map<string, string>();
		for (const {key, value} of this.log) {
			if (value === undefined) {
				state.delete(key);
			} else {
				state.set(key, value);
			}
		}

		return state;
	}
}

describe('an entry that follows the changes of the store at another', () => {
	it('learns each change without a call of the store', async () => {
		const world = new FeedWorld();
		expect(await world.watch()).to.equal(true);
		world.write('a', '1');
		world.write('b', '2');
		world.readStore();
		world.write('a', undefined);
		world.readStore();
		expect(await world.watch()).to.equal(true);
		expect([...world.known]).to.deep.equal([['b', '2']]);
		expect(world.storeReads).to.equal(0);
	});

	it('turns to the store within a second and a bit when the reader falls silent, and asks the reader again later', async () => {
		const world = new FeedWorld();
		await world.watch();
		world.network.isSilent = true;
		const startedAt = world.timers.getNow();
		while (await world.watch(1000)) {
			world.readStore();
		}

		expect(world.timers.getNow() - startedAt).to.be.below(2200);
		expect(world.reasons.at(-1)).to.equal('silent');
		world.network.isSilent = false;
		expect(await world.watch()).to.equal(false);
		await world.timers.advance(3000);
		world.readStore();
		expect(await world.watch()).to.equal(true);
	});

	it('turns to the store when the reader no longer reaches it', async () => {
		const world = new FeedWorld();
		await world.watch();
		const startedAt = world.timers.getNow();
		while (await world.watch(500)) {
			// The reader's own watch gets no answer.
		}

		expect(world.timers.getNow() - startedAt).to.be.below(2600);
	});

	it('turns to the store when the reader is in another era or has passed its position with a gap', async () => {
		const world = new FeedWorld();
		world.era = 2;
		world.readStore();
		expect(await world.watch()).to.equal(false);
		const late = new FeedWorld();
		for (let index = 0; index < 200; index++) {
			late.write(`k${index}`, 'v');
			late.readStore();
		}

		expect(await late.watch()).to.equal(false);
	});

	it('turns to the store at once when the reader closes the connection or names no reader', async () => {
		const world = new FeedWorld();
		await world.watch();
		world.network.close();
		expect(await world.watch()).to.equal(false);
		const alone = new FeedWorld();
		alone.reader = undefined;
		expect(await alone.watch()).to.equal(false);
		expect(alone.network.openCount).to.equal(0);
	});

	it('does not pass on a value that is too large for a message', async () => {
		const world = new FeedWorld();
		await world.watch();
		world.write('config', 'x'.repeat(100_000));
		world.readStore();
		expect(await world.watch()).to.equal(false);
		expect(world.known.get('config')).to.have.lengthOf(100_000);
	});

	it('ends with what the store has, whatever is lost on the way', async () => {
		const event = fc.oneof(
			fc.record({write: fc.constantFrom('a', 'b', 'c'), value: fc.option(fc.string({maxLength: 2}), {nil: undefined})}),
			fc.record({act: fc.constantFrom('read', 'follow', 'follow', 'close', 'lose messages', 'pass messages', 'wait', 'change reader')}),
		);
		await fc.assert(fc.asyncProperty(fc.array(event, {maxLength: 60}), async events => {
			const world = new FeedWorld();
			const acts: Readonly<Record<string, () => Promise<unknown> | void>> = {
				read() {
					world.readStore();
				},
				follow: async () => world.watch(),
				close() {
					world.network.close();
				},
				'lose messages'() {
					world.network.isSilent = true;
				},
				'pass messages'() {
					world.network.isSilent = false;
				},
				wait: async () => world.timers.advance(1100),
				'change reader'() {
					world.reader = world.reader ? undefined : readerAddress;
				},
			};
			for (const step of events) {
				if ('act' in step) {
					await acts[step.act]!();
				} else {
					world.write(step.write, step.value);
				}
			}

			world.network.isSilent = false;
			for (let round = 0; round < 4; round++) {
				world.readStore();
				await world.timers.advance(400);
				await world.watch();
			}

			expect(Object.fromEntries(world.known)).to.deep.equal(Object.fromEntries(world.getState()));
			world.publisher.stop();
		}), {seed, numRuns: 200});
	}).timeout(60_000);
});

describe('messages of the change feed', () => {
	it('are parsed as they were sent', () => {
		const position = {revision: 7, era: undefined};
		for (const message of [
			{kind: 40, position: {revision: 7, era: 3}},
			{kind: 41, batch: {from: position, to: {revision: 9, era: undefined}, changes: [{key: 'a', value: 'b', revision: 8}, {key: 'c', value: undefined, revision: 9}]}, answeringMs: 70},
			{
				kind: 42, position, ageMs: 120, answeringMs: 4000,
			},
			{kind: 43},
			{kind: 44},
			{kind: 45, ageMs: 30, answeringMs: 90},
		] as const) {
			expect(parseFeedItems(toFeedItems(message))).to.deep.equal(message);
		}

		for (const items of ['x', [], [39], [40, 'a', 1], [41, 1, 1, 0], [41, 1, 1, 0, [['k', 5, 1]]], [42, 1], [42, 1, 1, -1], [42, 1, 1, 0, -1], [45, 1], [45, 1, 'a'], [45, -1, 1], [46]]) {
			expect(() => parseFeedItems(items)).to.throw();
		}
	});
});

describe('chooseReader', () => {
	const entries = Array.from({length: 9}, (_, index) => ({vm: `vm${index}`, address: `10.0.0.${index}:1`, domain: 'one'}));

	it('chooses the same entry of a failure domain in any order, and none of few', () => {
		expect(chooseReader('one', [...entries].reverse())).to.equal(chooseReader('one', entries));
		expect(chooseReader('two', entries)).to.equal(undefined);
		expect(chooseReader('one', entries.slice(0, 7))).to.equal(undefined);
	});

	it('changes only when the reader itself leaves', () => {
		const reader = chooseReader('one', entries);
		for (const left of entries.filter(({address}) => address !== reader)) {
			expect(chooseReader('one', entries.filter(entry => entry !== left))).to.equal(reader);
		}
	});
});
