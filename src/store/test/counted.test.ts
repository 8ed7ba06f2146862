import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {ManualTimers} from '../../timers/index.js';
import {CountedStore} from '../index.js';

describe('CountedStore', () => {
	it('reports the outcome of each call and passes on its result or error', async () => {
		const platform = new FakePlatform(new ManualTimers());
		const inner = new FakeStore(platform);
		const outcomes: string[] = [];
		const store = new CountedStore(inner, outcome => {
			outcomes.push(outcome);
		});
		const getErrorName = async (call: Promise<unknown>): Promise<string> => {
			try {
				await call;
				return 'none';
			} catch (error) {
				return (error as Error).name;
			}
		};

		expect(await store.write('key', 'value', 0)).to.equal(1);
		expect(await getErrorName(store.write('key', 'other', 0))).to.equal('StoreConflictError');
		await store.acquire('lease', 'vm-1', 1000);
		expect(await getErrorName(store.acquire('lease', 'vm-2', 1000))).to.equal('LeaseHeldError');
		inner.lostAnswers = 1;
		expect(await getErrorName(store.write('key', 'third', 1))).to.equal('StoreUncertainError');
		inner.isDown = true;
		expect(await getErrorName(store.read('key'))).to.equal('StoreUnavailableError');
		expect(outcomes).to.deep.equal(['done', 'conflict', 'done', 'lease_held', 'uncertain', 'unavailable']);
		expect(platform.values.get('key')?.value).to.equal('third');
	});
});
