import {expect} from 'chai';
import type {MemberFact} from '../../feed/index.js';
import type {VmRecord} from '../../store/index.js';
import {listDrainBlockers} from '../barrier.js';
import type {BarrierView} from '../barrier.js';

function createVm(vm: string): VmRecord {
	return {
		vm, domain: 'd', http: '', peer: '', state: 'live',
	};
}

function createMember(vm: string, version: number, running = 0): MemberFact {
	return {
		vm, domain: 'd', http: '', peer: '', incarnation: 1, state: 'live', configuration: 0, closed: {e1: {version, running}},
	};
}

function listBlockers(view: Partial<BarrierView>): readonly string[] {
	return listDrainBlockers({
		upstreamId: 'e1', version: 7, vms: [], members: [], isLive: () => true, isStopped: () => false, ...view,
	});
}

describe('listDrainBlockers', () => {
	it('waits while the list of VMs was never read', () => {
		expect(listBlockers({vms: undefined})).to.deep.equal(['the list of VMs']);
	});

	it('waits for a VM of the list that was never heard', () => {
		expect(listBlockers({vms: [createVm('vm-1')]})).to.deep.equal(['vm-1']);
	});

	it('waits for an acknowledgement of an older closing', () => {
		expect(listBlockers({members: [createMember('vm-1', 6)]})).to.deep.equal(['vm-1']);
	});

	it('waits for running requests and says how many', () => {
		expect(listBlockers({members: [createMember('vm-1', 7, 2)]})).to.deep.equal(['vm-1 (2 running)']);
	});

	it('waits for an entry heard from that is not on the list, and no longer once it is silent', () => {
		expect(listBlockers({members: [createMember('vm-9', 1)]})).to.deep.equal(['vm-9']);
		expect(listBlockers({members: [createMember('vm-9', 1)], isLive: () => false})).to.deep.equal([]);
	});

	it('waits for a silent entry of the list, until an operator vouches for it', () => {
		const view = {vms: [createVm('vm-1')], isLive: () => false};
		expect(listBlockers(view)).to.deep.equal(['vm-1']);
		expect(listBlockers({...view, isStopped: vm => vm === 'vm-1'})).to.deep.equal([]);
	});

	it('waits for nobody when all have acknowledged and nothing runs', () => {
		expect(listBlockers({vms: [createVm('vm-1')], members: [createMember('vm-1', 7)]})).to.deep.equal([]);
	});
});
