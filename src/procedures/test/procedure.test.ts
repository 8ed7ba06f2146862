import {expect} from 'chai';
import type {Procedure, Step} from '../index.js';
import {callStep, runProcedure} from '../index.js';

function * sumTwoSteps(): Procedure<number> {
	const first = yield * callStep('first', () => 1);
	const second = yield * callStep('second', async () => 2);
	return first + second;
}

describe('runProcedure', () => {
	it('passes each step\'s result to the procedure and returns the procedure\'s result', async () => {
		expect(await runProcedure(sumTwoSteps())).to.equal(3);
	});

	it('throws a hook\'s error into the procedure at the step', async () => {
		const startedSteps: string[] = [];
		const onBefore = (step: Step) => {
			startedSteps.push(step.name);
			if (step.name === 'second') {
				throw new RangeError('injected fault');
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
