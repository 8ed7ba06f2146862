import {getEventListeners} from 'node:events';
import {expect} from 'chai';
import {Fleet} from '../../dispatch/index.js';
import {NotRunError} from '../../errors/index.js';
import {MessageLink, MessageNetwork} from '../../peers/index.js';
import {RequestLimits} from '../../requestlimits/index.js';
import {ManualTimers} from '../../timers/index.js';
import {RemoteAllocator} from '../remoteallocator.js';
import {
	FailoverPermits, FailoverReservations, listAllocators, SlotAllocator,
} from '../index.js';
import type {ReservationRequest, AllocatorCandidate} from '../index.js';
import {BlockQuarantine} from '../../quarantine/index.js';
import {createReservationRequest} from './requests.js';

const request = createReservationRequest();
const candidates: readonly AllocatorCandidate[] = ['a', 'b', 'c', 'd'].map(name => ({
	vm: name, address: `${name}:1`, domain: 'one', cores: 1,
}));

class SilentLink extends MessageLink {
	override send(): void {
		// No allocator answers.
	}

	override close(): void {
		// Nothing is open.
	}
}

/** Records the addresses of opened connections. */
class RecordingNetwork extends MessageNetwork {
	readonly opened: string[] = [];

	override open(address: string): MessageLink {
		this.opened.push(address);
		return new SilentLink();
	}

	override async serve(): Promise<void> {
		// No entry connects to this process.
	}

	override close(): void {
		// Nothing is open.
	}
}

describe('FailoverReservations', () => {
	it('uses the first choice among the current candidates after one has left or joined', () => {
		const timers = new ManualTimers();
		const network = new RecordingNetwork();
		let current = candidates;
		const localAllocator = new SlotAllocator({
			timers, fleet: new Fleet(), getRandom: () => 0.5, getSlotShare: () => 1,
		});
		const provider = new FailoverReservations({
			timers, getRandom: () => 0.5, network, localAllocator, localVm: 'x', localAddress: 'x:1', listCandidates: () => current, onAllocatorChange: () => undefined,
		});
		const first = listAllocators(request.service, candidates, 1)[0]!;
		const others = candidates.filter(({address}) => address !== first);
		void provider.acquire(request, new AbortController().signal);
		void provider.acquire(request, new AbortController().signal);
		expect(network.opened).to.deep.equal([first]);
		current = others;
		void provider.acquire(request, new AbortController().signal);
		expect(network.opened).to.deep.equal([first, listAllocators(request.service, others, 1)[0]]);
		current = candidates;
		void provider.acquire(request, new AbortController().signal);
		expect(network.opened).to.have.lengthOf(2);
		provider.stop();
	});
});

describe('RemoteAllocator', () => {
	it('sends nothing for a request that was cancelled before, and refuses it as not run', async () => {
		const sent: unknown[] = [];
		class CountingLink extends SilentLink {
			override send(items?: unknown): void {
				sent.push(items);
			}
		}

		class CountingNetwork extends RecordingNetwork {
			override open(): MessageLink {
				return new CountingLink();
			}
		}

		const allocator = new RemoteAllocator(new ManualTimers(), new CountingNetwork(), 'a:1', {
			onLost: () => undefined, onAnswer: () => undefined, onLimited: () => undefined, quarantine: new BlockQuarantine(), limits: new RequestLimits(), localVm: 'x',
		});
		const sentBefore = sent.length;
		let error: unknown;
		try {
			await allocator.acquire(request, AbortSignal.abort());
		} catch (error_) {
			error = error_;
		}

		expect(error).to.be.instanceOf(NotRunError);
		expect(sent).to.have.lengthOf(sentBefore);
		allocator.close();
	});

	it('leaves no listener on the signal of a request when the allocator is lost', async () => {
		const allocator = new RemoteAllocator(new ManualTimers(), new RecordingNetwork(), 'a:1', {
			onLost: () => undefined, onAnswer: () => undefined, onLimited: () => undefined, quarantine: new BlockQuarantine(), limits: new RequestLimits(), localVm: 'x',
		});
		const {signal} = new AbortController();
		const acquired = Promise.allSettled([allocator.acquire(request, signal)]);
		expect(getEventListeners(signal, 'abort')).to.have.lengthOf(1);
		allocator.close();
		const [result] = await acquired;
		expect(result.status).to.equal('rejected');
		expect(getEventListeners(signal, 'abort')).to.have.lengthOf(0);
	});
});

describe('FailoverPermits', () => {
	it('names a time to return also to requests that come while many others wait for permits', async () => {
		const timers = new ManualTimers();
		const localAllocator = new SlotAllocator({
			timers, fleet: new Fleet(), getRandom: () => 0.5, getSlotShare: () => 1,
		});
		const reservations = new FailoverReservations({
			timers, getRandom: () => 0.5, network: new RecordingNetwork(), localAllocator, localVm: 'x', localAddress: 'x:1', listCandidates: () => candidates, onAllocatorChange: () => undefined,
		});
		const permits = new FailoverPermits(timers, localAllocator, reservations);
		const engine = {service: 'app', id: 'a1'};
		localAllocator.limits.onAnswer(engine, 20, 0, 0);
		for (let index = 0; index < 16; index++) {
			void permits.takePermit(engine);
		}

		expect(await permits.takePermit(engine)).to.equal(false);
		expect(permits.scheduleReturnMs([engine], 600)).to.equal(50);
		expect(permits.scheduleReturnMs([engine], 600)).to.equal(100);
		reservations.stop();
	});
});
