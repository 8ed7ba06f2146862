import {expect} from 'chai';
import {listAllocators} from '../index.js';
import type {AllocatorCandidate} from '../index.js';

const createCandidate = (address: string, domain: string, cores = 0.675): AllocatorCandidate => ({
	vm: address, address, domain, cores,
});

describe('listAllocators', () => {
	const candidates = [
		createCandidate('a1', 'a'), createCandidate('a2', 'a'), createCandidate('a3', 'a'), createCandidate('b1', 'b'), createCandidate('b2', 'b'), createCandidate('c1', 'c'),
	];

	it('chooses an entry of the domain with the most entries, whatever the order of the candidates', () => {
		for (const service of ['one', 'two', 'three', 'four']) {
			const [first] = listAllocators(service, candidates, 3);
			expect(first).to.match(/^a/v);
			expect(listAllocators(service, candidates.toReversed(), 3)).to.deep.equal(listAllocators(service, candidates, 3));
		}
	});

	it('prefers an entry with more cores', () => {
		expect(listAllocators('one', [...candidates, createCandidate('b3', 'b', 1.35)], 1)).to.deep.equal(['b3']);
	});

	it('lists the other candidates after the first, and none without candidates', () => {
		expect(new Set(listAllocators('one', candidates, 6))).to.have.lengthOf(6);
		expect(listAllocators('one', [], 3)).to.deep.equal([]);
	});
});
