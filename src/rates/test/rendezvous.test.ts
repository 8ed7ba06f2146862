import {expect} from 'chai';
import {selectOwners} from '../index.js';

const names = Array.from({length: 6}, (_value, index) => `vm-${index}`);
const keys = Array.from({length: 600}, (_value, index) => `engine-${index}`);

describe('selectOwners', () => {
	it('spreads keys over the names', () => {
		const counts = new Map<string, number>();
		for (const key of keys) {
			const [owner] = selectOwners(key, names, 1);
			counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
		}

		expect([...counts.values()].every(count => count > 60 && count < 140)).to.equal(true);
	});

	it('moves only the keys of a name that is removed', () => {
		const remaining = names.slice(1);
		for (const key of keys) {
			const [owner] = selectOwners(key, names, 1);
			if (owner !== 'vm-0') {
				expect(selectOwners(key, remaining, 1)).to.deep.equal([owner]);
			}
		}
	});
});
