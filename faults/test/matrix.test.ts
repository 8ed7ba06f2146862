import {expect} from 'chai';
import {runCells} from '../matrix.js';
import {listCells} from '../rows/index.js';

const seed = 1;

describe('the fault matrix', () => {
	for (const cell of listCells().filter(cell => cell.notApplicable === undefined)) {
		it(`${cell.point}: ${cell.procedure}, ${cell.step}, ${cell.fault}`, async () => {
			const [result] = await runCells([cell], {seed});
			expect(result?.failure).to.equal(undefined);
		});
	}
});
