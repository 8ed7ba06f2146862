import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {NotRunError, UnknownOutcomeError} from '../../errors/index.js';
import {storeKey} from '../../store/index.js';
import {ManualTimers} from '../../timers/index.js';
import {Claims} from '../claims.js';
import {emptyRecord} from '../record.js';
import type {DomainRecord} from '../record.js';

const domain = 'd';

describe('Claims', () => {
	let platform: FakePlatform;
	let store: FakeStore;
	let claims: Claims;
	let send: string;
	beforeEach(async () => {
		platform = new FakePlatform(new ManualTimers());
		store = new FakeStore(platform);
		claims = new Claims('vm-1/1');
		send = claims.open('e1');
		const record: DomainRecord = {
			...emptyRecord,
			holder: 'vm-2/1',
			fence: 2,
			upstreams: {
				e1: {
					address: '', service: 's', isEngine: true, isFenced: false, state: 'serving', senders: [send, 'vm-3/1#1'], isDrained: false,
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

	it('keeps a send that is not answered', async () => {
		await claims.release(store, domain);
		expect(readSenders()).to.include(send);
	});

	it('releases its own answered send under another holder, and no one else\'s', async () => {
		claims.confirm(send);
		await claims.release(store, domain);
		expect(readSenders()).to.deep.equal(['vm-3/1#1']);
	});

	it('releases a send that never left', async () => {
		claims.confirm(send, new NotRunError('no connection'));
		await claims.release(store, domain);
		expect(readSenders()).to.not.include(send);
	});

	it('keeps a lost send until the engine shows a higher incarnation than after the loss', async () => {
		claims.onIncarnation('e1', 1);
		claims.confirm(send, new UnknownOutcomeError('lost'));
		claims.onIncarnation('e1', 2);
		claims.onIncarnation('e1', 2);
		await claims.release(store, domain);
		expect(readSenders()).to.include(send);
		claims.onIncarnation('e1', 3);
		await claims.release(store, domain);
		expect(readSenders()).to.not.include(send);
	});
});
