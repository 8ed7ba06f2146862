import {expect} from 'chai';
import {FactTable} from '../../feed/index.js';
import {ManualTimers} from '../../timers/index.js';
import {FleetView, LiveMembers} from '../index.js';

const domains = {'vm-1': 'near', 'vm-2': 'near', 'vm-3': 'far'} as const;

function publish(facts: FactTable, vm: keyof typeof domains, version: number): void {
	facts.merge({
		kind: 'member',
		key: vm,
		version,
		value: {
			vm, domain: domains[vm], http: '', peer: '', incarnation: 1, state: 'live', configuration: 1, closed: {},
		},
	});
}

describe('LiveMembers', () => {
	it('removes an entry that was killed, whose last fact says "live", and lists it again when it returns', async () => {
		const facts = new FactTable();
		const timers = new ManualTimers();
		const liveMembers = new LiveMembers(facts, timers, 'near');
		const view = new FleetView(facts, () => undefined, 'near', member => liveMembers.isLive(member));
		const list = (domain: string) => view.listLiveMembers(domain).map(({vm}) => vm);
		publish(facts, 'vm-1', 1);
		publish(facts, 'vm-2', 1);
		publish(facts, 'vm-3', 1);
		expect(list('near')).to.deep.equal(['vm-1', 'vm-2']);
		for (let version = 2; version < 8; version++) {
			await timers.advance(1000);
			publish(facts, 'vm-1', version);
		}

		expect(list('near')).to.deep.equal(['vm-1']);
		expect(list('far')).to.deep.equal(['vm-3']);
		await timers.advance(60_000);
		expect(list('far')).to.deep.equal([]);
		publish(facts, 'vm-2', 2);
		expect(list('near')).to.deep.equal(['vm-2']);
	});
});
