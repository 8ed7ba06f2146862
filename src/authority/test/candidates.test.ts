import {expect} from 'chai';
import {candidateCount, isTrying, turnsBetweenTries} from '../candidates.js';

const domain = 'kigali-1';
const vms = Array.from({length: 76}, (_, index) => `vm-${index}`);

function listTrying(known: readonly string[], turn: number): readonly string[] {
	return known.filter(vm => isTrying({
		domain, vm, heard: known.filter(other => other !== vm), turn,
	}));
}

describe('isTrying', () => {
	it('lets every entry of a small domain try at every turn', () => {
		const few = vms.slice(0, candidateCount);
		expect(listTrying(few, 0)).to.deep.equal(few);
		expect(listTrying(few, 1)).to.deep.equal(few);
	});

	it('lets as few try in a large domain, and others in their place once they are not heard', () => {
		const first = listTrying(vms, 0);
		expect(first).to.have.length(candidateCount);
		const second = listTrying(vms.filter(vm => !first.includes(vm)), 0);
		expect(second).to.have.length(candidateCount);
		expect(second.some(vm => first.includes(vm))).to.equal(false);
	});

	it('lets every entry try now and then, as those before it may be cut off from the store', () => {
		const turns = Array.from({length: turnsBetweenTries}, (_, turn) => listTrying(vms, turn).length);
		expect(turns.filter(count => count === vms.length)).to.have.length(1);
	});
});
