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
	it('waits for the list of VMs until it has been read', () => {
		expect(listBlockers({vms: undefined})).to.deep.equal(['the list of VMs']);
	});

	it('waits for a listed VM from which nothing was ever received', () => {
		expect(listBlockers({vms: [createVm('vm-1')]})).to.deep.equal(['vm-1']);
	});

	it('waits for an entry that has only applied an older closing version', () => {
		expect(listBlockers({members: [createMember('vm-1', 6)]})).to.deep.equal(['vm-1']);
	});

	it('waits for running requests and reports their number', () => {
		expect(listBlockers({members: [createMember('vm-1', 7, 2)]})).to.deep.equal(['vm-1 (2 running)']);
	});

	it('waits for a live entry that is not on the list, but not once it is silent', () => {
		expect(listBlockers({members: [createMember('vm-9', 1)]})).to.deep.equal(['vm-9']);
		expect(listBlockers({members: [createMember('vm-9', 1)], isLive: () => false})).to.deep.equal([]);
	});

	it('waits for a silent listed entry until an operator confirms that it is stopped', () => {
		const view = {vms: [createVm('vm-1')], isLive: () => false};
		expect(listBlockers(view)).to.deep.equal(['vm-1']);
		expect(listBlockers({...view, isStopped: vm => vm === 'vm-1'})).to.deep.equal([]);
	});

	it('waits for nothing when all entries have applied the closing version and no request is running', () => {
		expect(listBlockers({vms: [createVm('vm-1')], members: [createMember('vm-1', 7)]})).to.deep.equal([]);
	});
});
