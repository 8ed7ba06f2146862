import {expect} from 'chai';
import {KnowledgeAge} from '../../customers/index.js';
import {MessageLink, MessageNetwork} from '../../peers/index.js';
import type {MessageHandlers} from '../../peers/index.js';
import {ManualTimers} from '../../timers/index.js';
import {ChangeFollower, ChangePublisher} from '../index.js';
import {feedMessageKind} from '../messages.js';

const readerAddress = 'reader:1';
const position = {revision: 7, era: 1};

type Direction = 'toReader' | 'toFollower';

/** A network between a reader and a follower, in which messages of each direction take some time; those that are held arrive when they are let go. */
class DelayedNetwork extends MessageNetwork {
	readonly delaysMs = {toReader: 0, toFollower: 0};
	readonly sent: unknown[][] = [];
	#followerHandlers: MessageHandlers | undefined;
	#onLink: ((link: MessageLink) => MessageHandlers) | undefined;

	constructor(readonly timers: ManualTimers) {
		super();
	}

	override open(_address: string, handlers: MessageHandlers): MessageLink {
		this.#followerHandlers = handlers;
		const serverHandlers = this.#onLink!(this.#createLink('toFollower', () => handlers));
		return this.#createLink('toReader', () => serverHandlers);
	}

	/** Relays a message to the follower at once. */
	relay(items: unknown[]): void {
		this.#followerHandlers!.onMessage(items);
	}

	override async serve(_address: string, onLink: (link: MessageLink) => MessageHandlers): Promise<void> {
		this.#onLink = onLink;
	}

	override close(): void {
		// Nothing is open.
	}

	#createLink(direction: Direction, getHandlers: () => MessageHandlers): MessageLink {
		const {timers, delaysMs, sent} = this;
		return new class extends MessageLink {
			override send(items: readonly unknown[]): void {
				sent.push([...items]);
				timers.startTimer(delaysMs[direction], () => {
					getHandlers().onMessage(items);
				});
			}

			override close(): void {
				// The test ends.
			}
		}();
	}
}

/** An entry that reads the store, and one that knows of the store only through it. */
class AgeWorld {
	readonly timers = new ManualTimers();
	readonly network = new DelayedNetwork(this.timers);
	readonly readerAge = new KnowledgeAge(this.timers);
	readonly age = new KnowledgeAge(this.timers);
	isAgeNeeded = true;
	readonly publisher = new ChangePublisher(this.timers, () => undefined, () => this.readerAge.computeAgeMs());
	readonly follower = new ChangeFollower({
		timers: this.timers, network: this.network, listReaders: () => [readerAddress], confirmIntervalMs: 300, isAgeNeeded: () => this.isAgeNeeded, onReaderChange: () => undefined,
	});

	#isWatching = false;

	constructor(readerAgeMs = 0) {
		void this.network.serve(readerAddress, link => this.publisher.serve(link));
		this.onReaderAnswer(readerAgeMs);
	}

	/** Lets the store tell the reader that nothing has changed since `ageMs` ago. */
	onReaderAnswer(ageMs: number): void {
		this.publisher.publish({from: position, to: position, changes: []});
		this.readerAge.onKnown(ageMs);
	}

	/** Lets the follower take what it has been told for some time. */
	async run(durationMs: number): Promise<void> {
		const endAt = this.timers.getNow() + durationMs;
		while (this.timers.getNow() < endAt) {
			if (!this.#isWatching) {
				this.#isWatching = true;
				void this.#watch();
			}

			await this.timers.advance(10);
		}
	}

	async #watch(): Promise<void> {
		const followed = await this.follower.watch(position, 200);
		if (followed?.knownAgeMs !== undefined) {
			this.age.onKnown(followed.knownAgeMs);
		}

		this.#isWatching = false;
	}
}

describe('the age of what an entry knows through another', () => {
	it('adds the age at the other entry and the whole time since the question', async () => {
		const world = new AgeWorld(500);
		world.network.delaysMs.toReader = 40;
		world.network.delaysMs.toFollower = 60;
		await world.run(110);
		// The reader answers 40 ms after the question, with an age of 540 ms, and its answer takes 60 ms more.
		expect(world.age.computeAgeMs()).to.be.within(640, 660);
	});

	it('counts an answer that was held up from its question, not from its arrival', async () => {
		const world = new AgeWorld();
		world.network.delaysMs.toFollower = 900;
		await world.run(1000);
		expect(world.age.computeAgeMs()).to.be.at.least(900);
	});

	it('grows with that of the other entry when the store no longer answers that one', async () => {
		const world = new AgeWorld();
		for (let index = 0; index < 6; index++) {
			await world.run(300);
			expect(world.age.computeAgeMs()).to.be.at.least(world.readerAge.computeAgeMs());
		}

		expect(world.age.computeAgeMs()).to.be.at.least(1800);
	});

	it('is not made younger by an answer to no question of its own, nor by one that comes twice', async () => {
		const world = new AgeWorld();
		await world.run(50);
		const confirmed = world.network.sent.find(([kind]) => kind === feedMessageKind.confirmed)!;
		world.network.delaysMs.toFollower = 5000;
		for (const numberItem of [confirmed[3], 999]) {
			await world.run(300);
			const ageMs = world.age.computeAgeMs();
			world.network.relay([...confirmed.slice(0, 3), numberItem, 0]);
			await world.run(50);
			expect(world.age.computeAgeMs()).to.equal(ageMs + 50);
		}
	});

	it('counts a suspension of the entry between question and answer', async () => {
		const world = new AgeWorld();
		world.network.delaysMs.toFollower = 100;
		await world.run(50);
		world.timers.shiftWallTime(6000);
		await world.run(70);
		expect(world.age.computeAgeMs()).to.be.at.least(6100);
	});

	it('stays under 1.8 s while the reader watches a store without changes', async () => {
		const world = new AgeWorld();
		let oldestMs = 0;
		await world.run(100);
		for (let index = 0; index < 10; index++) {
			// Each watch takes 500 ms, and a pause of 400 ms follows.
			await world.run(400);
			for (let waitedMs = 0; waitedMs < 500; waitedMs += 50) {
				await world.run(50);
				oldestMs = Math.max(oldestMs, world.age.computeAgeMs());
			}

			world.onReaderAnswer(500);
		}

		expect(oldestMs).to.be.within(1400, 1800);
	});

	it('costs no messages where it is not needed', async () => {
		const world = new AgeWorld();
		world.isAgeNeeded = false;
		await world.run(1500);
		expect(world.network.sent.filter(([kind]) => kind === feedMessageKind.confirm)).to.deep.equal([]);
	});
});
