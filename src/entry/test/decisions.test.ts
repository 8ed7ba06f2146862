import {expect} from 'chai';
import {InvalidTextError} from '../../errors/index.js';
import {parsePolicy, policyName} from '../decisions.js';

describe('parsePolicy', () => {
	it('takes each policy, and the full one without a value', () => {
		expect(Object.values(policyName).map(name => parsePolicy(name))).to.deep.equal(Object.values(policyName));
		expect(parsePolicy(undefined)).to.equal(policyName.full);
	});

	it('refuses any other value and names those allowed', () => {
		for (const value of ['', 'Full', 'fixed-roles', 'toString']) {
			expect(() => parsePolicy(value)).to.throw(InvalidTextError, 'least_in_flight');
		}
	});
});
