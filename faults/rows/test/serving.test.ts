import {expect} from 'chai';
import {runCells} from '../../matrix.js';
import {listServingCells} from '../serving.js';

const seeds = [2, 3, 5];

describe('the rows of serving', () => {
	const cells = listServingCells().filter(cell => cell.notApplicable === undefined);

	for (const seed of seeds) {
		it(`hold under seed ${seed}`, async () => {
			const results = await runCells(cells, {seed});
			expect(results.filter(({failure}) => failure !== undefined).map(({cell, failure}) => `${cell.step}, ${cell.fault}: ${failure}`)).to.deep.equal([]);
		});
	}

	for (const without of new Set(cells.flatMap(({mechanisms}) => mechanisms ?? []))) {
		it(`fail where they say so without: ${without}`, async () => {
			const expected = cells.filter(({mechanisms}) => mechanisms?.includes(without));
			const results = await runCells(expected, {seed: 3, without});
			expect(results.filter(({failure}) => failure === undefined).map(({cell}) => `${cell.step}, ${cell.fault}`)).to.deep.equal([]);
		});
	}
});
