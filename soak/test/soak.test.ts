import {expect} from 'chai';
import {soakCases} from '../cases.js';
import {runSoak} from '../run.js';

/** The short run that every check of the repository makes, beside the seeds that once failed. */
const shortRun = {seed: 1, seconds: 6} as const;
/** Starts, faults, what settles, and a busy machine, in milliseconds. */
const timeoutMs = 180_000;

describe('the soak', () => {
	for (const {seed, seconds} of [shortRun, ...soakCases]) {
		it(`keeps the promises of real processes under faults of seed ${seed}`, async () => {
			const report = await runSoak(seed, seconds);
			expect(report.violations, report.faults.join('\n')).to.deep.equal([]);
			expect(report.answered).to.be.above(report.calls / 2);
		}).timeout(timeoutMs);
	}
});
