import {expect} from 'chai';
import {ByteBudget, heldKind} from '../index.js';

// Guards against large bodies that leave nothing for ordinary requests.
describe('the byte budget', () => {
	it('leaves its reserve to small holders', () => {
		const budget = new ByteBudget(1000, 250, 100);
		budget.update(heldKind.body, 760);
		expect(budget.computeExcessBytes(760)).to.equal(10);
		expect(budget.computeExcessBytes(100)).to.equal(-240);
		budget.update(heldKind.head, 250);
		expect(budget.computeExcessBytes(100)).to.equal(10);
	});

	it('counts by kind, and what is released is free again', () => {
		const budget = new ByteBudget(1000, 250, 100);
		budget.update(heldKind.answer, 300);
		budget.update(heldKind.partialHead, 20);
		budget.update(heldKind.answer, -300);
		expect([budget.heldBytes, budget.listHeldBytes()]).to.deep.equal([20, {
			head: 0, partialHead: 20, body: 0, answer: 0,
		}]);
	});
});
