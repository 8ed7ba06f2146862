import {expect} from 'chai';
import type {Procedure, Step} from '../index.js';
import {callStep, runProcedure} from '../index.js';

function * sumTwoSteps(): Procedure<number> {
	const first = yield * callStep('first', () => 1);
	const second = yield * callStep('second', async () => 2);
	return first + second;
}

describe('runProcedure', () => {
	it('hands each step its result and returns the procedure\'s', async () => {
		expect(await runProcedure(sumTwoSteps())).to.equal(3);
	});

	it('throws an error of a hook into the procedure at that step', async () => {
		const startedSteps: string[] = [];
		const onBefore = (step: Step) => {
			startedSteps.push(step.name);
			if (step.name === 'second') {
				throw new RangeError('cut');
			}
		};

		let failure: unknown;
		try {
			await runProcedure(sumTwoSteps(), {onBefore});
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.instanceOf(RangeError);
		expect(startedSteps).to.deep.equal(['first', 'second']);
	});
});
