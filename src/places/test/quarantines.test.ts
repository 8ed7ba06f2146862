import {expect} from 'chai';
import {Fleet} from '../../dispatch/index.js';
import {DirectNetwork} from '../../peers/test/direct.js';
import {ManualTimers} from '../../timers/index.js';
import {FailoverReservations, serveReservations, SlotAllocator} from '../index.js';
import type {AllocatorCandidate} from '../index.js';
import {parseItems, toItems, allocatorMessageKind} from '../messages.js';
import {createReservationRequest} from './requests.js';

/** Entries without engines that use each other's slot allocators. */
class QuarantineWorld {
	readonly timers = new ManualTimers();
	readonly network = new DirectNetwork();
	live: readonly AllocatorCandidate[] = [];
	readonly entries: Array<{readonly allocator: SlotAllocator; readonly reservations: FailoverReservations}> = [];

	startEntry(address: string): void {
		const allocator = new SlotAllocator({
			timers: this.timers, fleet: new Fleet(), getRandom: () => 0.5, getSlotShare: () => 1,
		});
		const reservations = new FailoverReservations({
			timers: this.timers, getRandom: () => 0.5, network: this.network, localAllocator: allocator, localVm: address, localAddress: address, listCandidates: () => this.live, onAllocatorChange: () => undefined,
		});
		this.entries.push({allocator, reservations});
		void this.network.serve(address, link => serveReservations(link, allocator, address));
	}

	/** Makes an entry ask the slot allocator that it uses now. */
	async ask(entryIndex: number): Promise<void> {
		const controller = new AbortController();
		const acquire = async () => {
			try {
				await this.entries[entryIndex]!.reservations.acquire(createReservationRequest(), controller.signal);
			} catch {}
		};

		void acquire();
		await this.timers.advance(1);
		controller.abort();
		await this.timers.advance(0);
	}

	listBlocks(): string[][] {
		return this.entries.map(({allocator}) => allocator.quarantine.list(this.timers.getNow()).map(({blocks}) => blocks.join(' ')));
	}
}

describe('quarantines of several entries', () => {
	let world: QuarantineWorld;
	const candidates = ['a', 'b', 'c'].map(name => ({
		vm: name, address: `${name}:1`, domain: 'one', cores: 1,
	}));

	beforeEach(async () => {
		world = new QuarantineWorld();
		world.live = candidates;
		for (const {address} of candidates) {
			world.startEntry(address);
		}

		for (const index of candidates.keys()) {
			await world.ask(index);
		}
	});

	it('reach all of them from any, and a new slot allocator', async () => {
		world.entries[0]!.allocator.quarantine.add(['bad'], world.timers.getNow());
		expect(world.listBlocks()).to.deep.equal([['bad'], ['bad'], ['bad']]);
		world.startEntry('d:1');
		world.live = [{
			vm: 'd', address: 'd:1', domain: 'one', cores: 1,
		}];
		await world.ask(1);
		expect(world.listBlocks()[3]).to.deep.equal(['bad']);
		const refused = world.entries[3]!.allocator.quarantine.computeRemainingMs([{id: 'other', tokens: 1}, {id: 'bad', tokens: 1}], world.timers.getNow());
		expect(refused).to.be.within(119_000, 120_000);
	});

	it('reach entries that were cut off from the others when they can be reached again', async () => {
		world.network.isSilent = true;
		world.entries[0]!.allocator.quarantine.add(['bad'], world.timers.getNow());
		await world.timers.advance(5000);
		world.network.isSilent = false;
		for (const index of candidates.keys()) {
			await world.ask(index);
		}

		expect(world.listBlocks()).to.deep.equal([['bad'], ['bad'], ['bad']]);
	});

	it('are lifted also at an entry that refuses all its requests for them', async () => {
		world.network.isSilent = true;
		world.entries[0]!.allocator.quarantine.add(['first'], world.timers.getNow());
		world.entries[1]!.allocator.quarantine.onAnswered(['first'], world.timers.getNow());
		world.entries[2]!.allocator.quarantine.onAnswered(['first'], world.timers.getNow());
		await world.timers.advance(5000);
		world.network.isSilent = false;
		for (const {reservations} of world.entries) {
			reservations.connect('llm');
		}

		expect(world.listBlocks()).to.deep.equal([[], [], []]);
	});

	it('are lifted for blocks of which another entry has had complete answers', async () => {
		const now = world.timers.getNow();
		world.entries[2]!.allocator.quarantine.onAnswered(['first'], now);
		world.entries[0]!.allocator.quarantine.add(['first'], now);
		expect(world.listBlocks()).to.deep.equal([[], [], []]);
		world.entries[1]!.allocator.quarantine.add(['first', 'bad'], now);
		expect(world.listBlocks()).to.deep.equal([['bad'], ['bad'], ['bad']]);
	});

	it('are bounded in number and size, and so are their messages', () => {
		const {quarantine} = world.entries[0]!.allocator;
		for (let index = 0; index < 2000; index++) {
			quarantine.add([`bad${index}`], world.timers.getNow());
		}

		quarantine.add(Array.from({length: 1000}, (_, index) => `part${index}`), world.timers.getNow());
		const known = quarantine.list(world.timers.getNow());
		expect(known.length).to.be.at.most(256);
		expect(Math.max(...known.map(({blocks}) => blocks.length))).to.be.at.most(16);
		const message = {kind: allocatorMessageKind.quarantine, id: 0, quarantines: known.slice(0, 1)} as const;
		expect(parseItems(toItems(message))).to.deep.equal({...message, quarantines: known.slice(0, 1).map(item => ({...item, remainingMs: Math.round(item.remainingMs)}))});
		expect(() => parseItems([allocatorMessageKind.quarantine, 0, 'no list'])).to.throw('no list of quarantines');
		expect(() => parseItems([allocatorMessageKind.quarantine, 0, [['soon', 1, 'bad']]])).to.throw('not a finite number');
	});
});
