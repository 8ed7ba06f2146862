import {expect} from 'chai';
import {computeSpreadMs} from '../index.js';

describe('computeSpreadMs', () => {
	it('keeps 195 entries that register again within a quarter of the store\'s rate', () => {
		const spreadMs = computeSpreadMs(195, 2, 3200);
		expect(195 * 2 / spreadMs * 1000).to.be.at.most(3200 / 4);
		expect(spreadMs).to.be.below(500);
	});

	it('is short for a few entries, and finite without a rate', () => {
		expect(computeSpreadMs(6, 2, 400)).to.equal(120);
		expect(computeSpreadMs(6, 2, 0)).to.equal(12_000);
	});
});
