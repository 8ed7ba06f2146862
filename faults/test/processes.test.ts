import {expect} from 'chai';
import {runCells} from '../matrix.js';
import {closeWorld} from '../processes/world.js';
import {listProcessCells} from '../rows/processes.js';

const seed = 1;

describe('the fault matrix over real processes', function () {
	this.timeout(60_000);

	after(async () => {
		await closeWorld();
	});

	for (const cell of listProcessCells()) {
		it(`${cell.point}: ${cell.procedure}, ${cell.step}, ${cell.fault}`, async () => {
			const [result] = await runCells([cell], {seed});
			expect(result?.failure).to.equal(undefined);
		});
	}
});
