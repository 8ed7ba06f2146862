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
	it('every entry of a small domain tries in every round', () => {
		const few = vms.slice(0, candidateCount);
		expect(listCandidates(few, 0)).to.deep.equal(few);
		expect(listCandidates(few, 1)).to.deep.equal(few);
	});

	it('as few entries try in a large domain, and others replace them once they are not live', () => {
		const first = listCandidates(vms, 0);
		expect(first).to.have.length(candidateCount);
		const second = listCandidates(vms.filter(vm => !first.includes(vm)), 0);
		expect(second).to.have.length(candidateCount);
		expect(second.some(vm => first.includes(vm))).to.equal(false);
	});

	it('every entry tries in one of several rounds, because the candidates may be cut off from the store', () => {
		const candidateCounts = Array.from({length: fallbackIntervalRounds}, (_, round) => listCandidates(vms, round).length);
		expect(candidateCounts.filter(count => count === vms.length)).to.have.length(1);
	});
});
