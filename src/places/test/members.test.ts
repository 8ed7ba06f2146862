import {expect} from 'chai';
import {listKeepers} from '../index.js';
import type {PlaceMember} from '../index.js';

const createMember = (address: string, domain: string, cores = 0.675): PlaceMember => ({address, domain, cores});

describe('listKeepers', () => {
	const members = [
		createMember('a1', 'a'), createMember('a2', 'a'), createMember('a3', 'a'), createMember('b1', 'b'), createMember('b2', 'b'), createMember('c1', 'c'),
	];

	it('chooses an entry of the domain with the most entries, the same in whatever order they are known', () => {
		for (const service of ['one', 'two', 'three', 'four']) {
			const [first] = listKeepers(service, members, 3);
			expect(first).to.match(/^a/v);
			expect(listKeepers(service, members.toReversed(), 3)).to.deep.equal(listKeepers(service, members, 3));
		}
	});

	it('prefers an entry with much processor', () => {
		expect(listKeepers('one', [...members, createMember('b3', 'b', 1.35)], 1)).to.deep.equal(['b3']);
	});

	it('lists the others after it, and none when no entry lives', () => {
		expect(new Set(listKeepers('one', members, 6))).to.have.lengthOf(6);
		expect(listKeepers('one', [], 3)).to.deep.equal([]);
	});
});
