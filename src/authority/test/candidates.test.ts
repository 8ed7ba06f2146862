import {expect} from 'chai';
import {candidateCount, isLeaseCandidate, fallbackIntervalRounds} from '../candidates.js';

const domain = 'kigali-1';
const vms = Array.from({length: 76}, (_, index) => `vm-${index}`);

function listCandidates(vmsInDomain: readonly string[], round: number): readonly string[] {
	return vmsInDomain.filter(vm => isLeaseCandidate({
		domain, vm, liveVms: vmsInDomain.filter(other => other !== vm), round,
	}));
}

describe('isLeaseCandidate', () => {
	it('lets every entry of a small domain try at every turn', () => {
		const few = vms.slice(0, candidateCount);
		expect(listCandidates(few, 0)).to.deep.equal(few);
		expect(listCandidates(few, 1)).to.deep.equal(few);
	});

	it('lets as few try in a large domain, and others in their place once they are not heard', () => {
		const first = listCandidates(vms, 0);
		expect(first).to.have.length(candidateCount);
		const second = listCandidates(vms.filter(vm => !first.includes(vm)), 0);
		expect(second).to.have.length(candidateCount);
		expect(second.some(vm => first.includes(vm))).to.equal(false);
	});

	it('lets every entry try now and then, as those before it may be cut off from the store', () => {
		const candidateCounts = Array.from({length: fallbackIntervalRounds}, (_, round) => listCandidates(vms, round).length);
		expect(candidateCounts.filter(count => count === vms.length)).to.have.length(1);
	});
});
