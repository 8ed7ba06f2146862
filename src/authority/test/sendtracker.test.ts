import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {NotRunError, UnknownOutcomeError} from '../../errors/index.js';
import {storeKey} from '../../store/index.js';
import {ManualTimers} from '../../timers/index.js';
import {SendTracker} from '../sendtracker.js';
import {emptyRecord} from '../record.js';
import type {DomainRecord} from '../record.js';

const domain = 'd';

describe('SendTracker', () => {
	let platform: FakePlatform;
	let store: FakeStore;
	let sendTracker: SendTracker;
	let sendId: string;
	beforeEach(async () => {
		platform = new FakePlatform(new ManualTimers());
		store = new FakeStore(platform);
		sendTracker = new SendTracker('vm-1/1');
		sendId = sendTracker.register('e1');
		const record: DomainRecord = {
			...emptyRecord,
			holder: 'vm-2/1',
			fence: 2,
			upstreams: {
				e1: {
					address: '', service: 's', isEngine: true, isFenced: false, state: 'serving', senders: [sendId, 'vm-3/1#1'], isDrained: false,
				},
			},
		};
		await store.write(storeKey.orders(domain), JSON.stringify(record), 0);
	});

	function readSenders(): readonly string[] {
		const found = platform.values.get(storeKey.orders(domain));
		const record = JSON.parse(found?.value ?? '') as DomainRecord;
		return record.upstreams.e1?.senders ?? [];
	}

	it('does not release a send that is not answered', async () => {
		await sendTracker.releaseEnded(store, domain);
		expect(readSenders()).to.include(sendId);
	});

	it('releases its own answered send while another entry is the holder, and leaves the sends of others', async () => {
		sendTracker.recordOutcome(sendId);
		await sendTracker.releaseEnded(store, domain);
		expect(readSenders()).to.deep.equal(['vm-3/1#1']);
	});

	it('releases a send that never left this process', async () => {
		sendTracker.recordOutcome(sendId, new NotRunError('no connection'));
		await sendTracker.releaseEnded(store, domain);
		expect(readSenders()).to.not.include(sendId);
	});

	it('does not release a send whose answer was lost until the engine reports a higher incarnation than after the loss', async () => {
		sendTracker.onIncarnation('e1', 1);
		sendTracker.recordOutcome(sendId, new UnknownOutcomeError('lost'));
		sendTracker.onIncarnation('e1', 2);
		sendTracker.onIncarnation('e1', 2);
		await sendTracker.releaseEnded(store, domain);
		expect(readSenders()).to.include(sendId);
		sendTracker.onIncarnation('e1', 3);
		await sendTracker.releaseEnded(store, domain);
		expect(readSenders()).to.not.include(sendId);
	});
});
