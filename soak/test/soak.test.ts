import {expect} from 'chai';
import {soakCases} from '../cases.js';
import {runSoak} from '../run.js';

/** A short run that every check of the repository makes, in addition to the seeds that once failed. */
const shortRun = {seed: 1, seconds: 6} as const;
/** Time limit of one run on a busy machine, with its starts, faults and recovery, in milliseconds. */
const timeoutMs = 180_000;

describe('the soak run', () => {
	const faults: string[] = [];
	for (const {seed, seconds} of [shortRun, ...soakCases]) {
		it(`finds no violated guarantee of real processes under the faults of seed ${seed}`, async () => {
			const report = await runSoak(seed, seconds);
			faults.push(...report.faults);
			expect(report.violations, report.faults.join('\n')).to.deep.equal([]);
			expect(report.answered).to.be.above(report.calls / 2);
		}).timeout(timeoutMs);
	}

	it('has played engines that fall silent', () => {
		expect(faults.some(fault => / silent (?:once|\d+ times) /v.test(fault)), faults.join('\n')).to.equal(true);
	});
});
