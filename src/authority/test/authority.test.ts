import {expect} from 'chai';
import {domainName, FakeDomain} from '../../../faults/fakes/domain.js';
import {listOperations, operationKind, operationState} from '../../operations/index.js';

const seed = 1;

for (const isFenced of [true, false]) {
	describe(`Authority over ${isFenced ? 'fenced' : 'unfenced'} engines`, () => {
		let domain: FakeDomain;
		beforeEach(async () => {
			domain = new FakeDomain({seed, isFenced});
			await domain.start();
		});
		afterEach(() => {
			domain.check();
		});

		it('loads a new version on every engine without aborting a request', async () => {
			domain.setText('2');
			await domain.waitFor('the new version', async () => domain.isSettled(), 60_000);
			const versions = ['e1', 'e2', 'e3', 'e4'].map(id => domain.engines.get(id)?.state.version);
			expect(versions).to.deep.equal(['2', '2', '2', '2']);
		});

		it('applies the role that the plan requires', async () => {
			domain.setRole('e1', 'decode');
			await domain.waitFor('the new role', async () => domain.isSettled(), 30_000);
			expect(domain.engines.get('e1')?.state.role).to.equal('decode');
		});

		it('drains an engine and takes it into service again', async () => {
			await domain.ask('1', operationKind.drain, 'e1');
			await domain.waitFor('the drain', async () => domain.isSettled(), 30_000);
			expect(domain.engines.get('e1')?.state.phase).to.equal('draining');
			await domain.ask('2', operationKind.resume, 'e1');
			await domain.waitFor('the resumption', async () => domain.isSettled(), 30_000);
			expect(domain.engines.get('e1')?.state.phase).to.equal('ready');
		});

		it('another entry takes over when the holder dies, and sets up an engine that restarted with another version', async () => {
			domain.setText('2');
			await domain.waitFor('the new version', async () => domain.isSettled(), 60_000);
			const holder = domain.findHolder();
			if (holder) {
				domain.abort(holder);
			}

			domain.engines.get('e2')?.abort(500);
			await domain.timers.advance(1000);
			await domain.waitFor('the repair', async () => domain.isSettled(), 60_000);
			expect(domain.engines.get('e2')?.state.version).to.equal('2');
		});

		it('reports which VMs a drain waits for, and sends the engine no drain order meanwhile', async () => {
			domain.entries.find(entry => entry !== domain.findHolder())?.gate.stop();
			await domain.ask('1', operationKind.drain, 'e1');
			await domain.timers.advance(20_000);
			const [operation] = await listOperations(domain.operators, domainName);
			expect(operation?.state).to.equal(operationState.waiting);
			expect(operation?.detail).to.match(/^waiting for vm-\d/v);
			expect(domain.engines.get('e1')?.journal.filter(({order}) => order.kind === 'drain')).to.have.length(0);
		});
	});
}
