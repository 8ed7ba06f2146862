import {expect} from 'chai';
import {decideErrorAnswer} from '../../serving/index.js';
import {DeadlineError, NotRunError, UnknownOutcomeError} from '../index.js';

const internalText = 'connect ECONNREFUSED 10.1.0.15:8185';

describe('an error with a cause', () => {
	it('keeps the cause in its message, for logs, and its own text alone in its summary', () => {
		const error = new NotRunError('no connection to the service', {cause: new RangeError(internalText)});
		expect(error.message).to.contain(internalText);
		expect(error.summary).to.equal('no connection to the service');
	});

	it('can have a cause of its own class, and then tells its own text', () => {
		const error = new NotRunError('outer', {cause: new NotRunError(internalText)});
		expect(error.summary).to.equal('outer');
	});

	for (const [name, error] of [
		['NotRunError', new NotRunError('not run', {cause: new RangeError(internalText)})],
		['UnknownOutcomeError', new UnknownOutcomeError('unknown', {cause: new RangeError(internalText)})],
		['DeadlineError', new DeadlineError('too late', {cause: new RangeError(internalText)})],
		['foreign error', new RangeError(internalText)],
	] as const) {
		it(`does not tell a caller the internal text: ${name}`, () => {
			expect(decideErrorAnswer(error).message).to.not.contain('10.1.0.15');
		});
	}
});
