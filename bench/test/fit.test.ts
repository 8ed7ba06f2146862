import {expect} from 'chai';
import {computeFit} from '../fit.js';

describe('computeFit', () => {
	it('finds the line that all observations lie on', () => {
		const fit = computeFit([{size: 1, value: 5}, {size: 2, value: 7}, {size: 4, value: 11}]);
		expect(fit.intercept).to.be.closeTo(3, 1e-9);
		expect(fit.slope).to.be.closeTo(2, 1e-9);
		expect(fit.relativeError).to.be.closeTo(0, 1e-9);
	});

	it('reports the largest distance from the line relative to the largest observed value', () => {
		const fit = computeFit([{size: 0, value: 0}, {size: 1, value: 1}, {size: 2, value: 0}]);
		expect(fit.slope).to.be.closeTo(0, 1e-9);
		expect(fit.relativeError).to.be.closeTo(2 / 3, 1e-9);
	});
});
