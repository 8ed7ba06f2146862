import {expect} from 'chai';
import {soakCases} from '../cases.js';
import {runSoak} from '../run.js';

/** Seconds of faults of the run that every check of the repository makes. */
const seconds = 6;
/** Starts, faults, what settles, and a busy machine, in milliseconds. */
const limitMs = 180_000;

describe('the soak', () => {
	for (const seed of [1, ...soakCases.map(({seed}) => seed)]) {
		it(`keeps the promises of real processes under faults of seed ${seed}`, async () => {
			const report = await runSoak(seed, seconds);
			expect(report.broken, report.faults.join('\n')).to.deep.equal([]);
			expect(report.answered).to.be.above(report.calls / 2);
		}).timeout(limitMs);
	}
});
