import {expect} from 'chai';
import fc from 'fast-check';
import {engineOutcome, engineStage, Fleet} from '../../dispatch/index.js';
import type {EngineRecord, PrefixBlock} from '../../dispatch/index.js';
import {DirectNetwork} from '../../peers/test/direct.js';
import {ManualTimers} from '../../timers/index.js';
import {
	FailoverReservations, listAllocators, serveReservations, SlotAllocator,
} from '../index.js';
import type {AllocatorCandidate, Reservation} from '../index.js';
import {createReservationRequest} from './requests.js';

const seed = 21;
const entryCount = 4;
const slots = 4;
const engineIds = ['d1', 'd2', 'd3'];
const request = createReservationRequest({
	targetMs: 5000, deadlineMs: 60_000, firstByteTimeoutMs: 60_000, prefixBlocks: [{id: 'shared', tokens: 300}], kvCapacityTokens: 100_000,
});

type TakeoverEvent = {readonly reserveAt: number} | {readonly prefilled: number} | {readonly released: number} | {readonly viewOf: number; readonly missing: number};

/** Entries that reserve slots of the same engines, each with its own view of which entries are live. */
class TakeoverWorld {
	readonly timers = new ManualTimers();
	readonly candidates: readonly AllocatorCandidate[] = Array.from({length: entryCount}, (_, index) => ({
		vm: `entry${index}`, address: `entry${index}:1`, domain: 'one', cores: 1,
	}));

	readonly entries: Array<{readonly allocator: SlotAllocator; readonly reservations: FailoverReservations; readonly fleet: Fleet; live: readonly AllocatorCandidate[]}> = [];
	readonly held: Reservation[] = [];
	readonly asked: string[] = [];
	readonly #network = new DirectNetwork();

	constructor() {
		for (const {address} of this.candidates) {
			const fleet = new Fleet();
			for (const id of engineIds) {
				fleet.onRegistration({
					id, address: '10.0.0.1:80', service: 'llm', stage: engineStage.decode, slots, isLeaving: false, startedAt: 1,
				});
			}

			const entry: (typeof this.entries)[number] = {
				fleet,
				live: this.candidates,
				allocator: new SlotAllocator({
					timers: this.timers,
					fleet,
					getRandom: () => 0.5,
					getSlotShare: () => 1,
					listHeldBlocks: async ({id}: EngineRecord): Promise<readonly PrefixBlock[]> => {
						this.asked.push(`${address} ${id}`);
						return id === 'd2' ? [{id: 'shared', tokens: 300}] : [];
					},
				}),
				reservations: undefined as unknown as FailoverReservations,
			};
			const {allocator} = entry;
			const reservations = new FailoverReservations({
				timers: this.timers, getRandom: () => 0.5, network: this.#network, localAllocator: allocator, localVm: address, localAddress: address, listCandidates: () => entry.live, onAllocatorChange: () => undefined,
			});
			this.entries.push(Object.assign(entry, {reservations}));
			void this.#network.serve(address, link => serveReservations(link, allocator, address));
		}
	}

	async requestReservation(entryIndex: number): Promise<void> {
		const controller = new AbortController();
		const acquire = async () => {
			try {
				this.held.push(await this.entries[entryIndex]!.reservations.acquire(request, controller.signal));
			} catch {}
		};

		void acquire();
		await this.timers.advance(1);
		controller.abort();
		await this.timers.advance(0);
	}

	/** Plays one event: a request, the end of a prefill or of a request, or a change of an entry's view of which entries are live. */
	async runEvent(event: TakeoverEvent): Promise<void> {
		if ('reserveAt' in event) {
			await this.requestReservation(event.reserveAt);
		} else if ('viewOf' in event) {
			this.entries[event.viewOf]!.live = this.candidates.filter((_, index) => index !== event.missing);
		} else if ('prefilled' in event) {
			this.held[event.prefilled]?.onPrefillEnd(engineOutcome.answered);
		} else {
			this.held.splice(event.released, 1)[0]?.release(engineOutcome.answered);
		}
	}

	/** Counts the requests that an entry's allocator accounts for at an engine. */
	countAt(entryIndex: number, engineId: string): number {
		const {allocator, fleet} = this.entries[entryIndex]!;
		return allocator.getUsage(fleet.findServing(engineId)!).decodeCount;
	}

	stop(): void {
		for (const {reservations} of this.entries) {
			reservations.stop();
		}
	}
}

const eventLists = fc.array(fc.oneof(
	fc.record({reserveAt: fc.nat(entryCount - 1)}),
	fc.record({prefilled: fc.nat(40)}),
	fc.record({released: fc.nat(40)}),
	// The entries learn of a change at different times: each event changes the view of one of them.
	fc.record({viewOf: fc.nat(entryCount - 1), missing: fc.nat(entryCount)}),
), {minLength: 5, maxLength: 60});

describe('a change of the slot allocator', () => {
	it('gives no slot twice once all entries use the new one and have asked it, whatever the order of events', async () => {
		await fc.assert(fc.asyncProperty(eventLists, fc.nat(entryCount - 1), async (events, leaving) => {
			const world = new TakeoverWorld();
			for (const event of events) {
				await world.runEvent(event);
			}

			const live = world.candidates.filter((_, index) => index !== leaving);
			for (const entry of world.entries) {
				entry.live = live;
			}

			for (let entry = 0; entry < entryCount; entry++) {
				await world.requestReservation(entry);
			}

			const [address] = listAllocators('llm', live, 1);
			const current = world.candidates.findIndex(candidate => candidate.address === address);
			for (const id of engineIds) {
				expect(world.countAt(current, id), id).to.equal(world.held.filter(({engines}) => engines.decodeEngine === id).length);
			}

			for (const reservation of world.held) {
				reservation.release(engineOutcome.answered);
			}

			for (let entry = 0; entry < entryCount; entry++) {
				expect(engineIds.map(id => world.countAt(entry, id)), `entry ${entry} keeps what was released`).to.deep.equal([0, 0, 0]);
			}

			world.stop();
		}), {seed, numRuns: 150});
	}).timeout(60_000);

	it('makes the new one ask each engine once for the blocks that it holds, and place prompts there', async () => {
		const world = new TakeoverWorld();
		const [first, second] = listAllocators('llm', world.candidates, 2);
		await world.requestReservation(0);
		await world.requestReservation(0);
		expect(world.asked).to.deep.equal(engineIds.map(id => `${first} ${id}`));
		for (const entry of world.entries) {
			entry.live = world.candidates.filter(({address}) => address !== first);
		}

		for (const reservation of world.held.splice(0)) {
			reservation.release(engineOutcome.answered);
		}

		await world.requestReservation(1);
		await world.requestReservation(1);
		expect(world.asked.slice(engineIds.length)).to.deep.equal(engineIds.map(id => `${second} ${id}`));
		expect(world.held.at(-1)?.engines.decodeEngine).to.equal('d2');
		world.stop();
	});
});
