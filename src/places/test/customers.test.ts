import {expect} from 'chai';
import {normalizeCustomerName} from '../../customers/index.js';
import {BadFrameError} from '../../errors/index.js';
import {allocatorMessageKind, parseItems, toItems} from '../index.js';
import type {AllocatorMessage, ReservationRequest} from '../index.js';

const request: ReservationRequest = {
	service: 'llm', targetMs: 200, deadlineMs: 2000, firstByteTimeoutMs: 1000, serviceMs: 30, prefixBlocks: [{id: 'aa', tokens: 100}], uniqueTokens: 10, outputTokens: 20,
	kvCapacityTokens: 1000, kvTransferMsPerToken: 0.1, excludedEngines: ['d1'],
};
const engines = {
	prefillEngine: undefined, decodeEngine: 'd2', prefixSource: undefined, firstTokenMs: 10,
};

// Guards against entries of an earlier and of this build that don't understand each other.
describe('the customer in allocator messages', () => {
	it('is parsed as it was sent, with its priority', () => {
		for (const customer of [{}, {customer: 'north'}, {customer: 'north', priority: 0}, {customer: 'x'.repeat(64), priority: 3}]) {
			const messages: AllocatorMessage[] = [
				{kind: allocatorMessageKind.request, id: 1, request: {...request, ...customer}},
				{
					kind: allocatorMessageKind.adopt, id: 2, request: {...request, ...customer}, engines, isPrefillPending: true,
				},
			];
			expect(messages.map(message => parseItems(toItems(message)))).to.deep.equal(messages);
		}
	});

	it('adds nothing to a message without a customer, and comes after all that an earlier build reads', () => {
		const items = toItems({kind: allocatorMessageKind.request, id: 1, request});
		expect(items).to.have.length(13);
		expect(toItems({kind: allocatorMessageKind.request, id: 1, request: {...request, customer: 'north', priority: 1}})).to.deep.equal([...items, 'north', 1]);
	});

	it('is refused when it is too long or malformed; longer names are hashed by the sender', () => {
		const items = toItems({kind: allocatorMessageKind.request, id: 1, request});
		for (const customer of [['x'.repeat(65), 1], [5, 1], ['north', 'high']]) {
			expect(() => parseItems([...items, ...customer])).to.throw(BadFrameError);
		}

		const names = ['a', 'b'].map(end => normalizeCustomerName('x'.repeat(5000) + end));
		expect(names.map(name => name.length)).to.deep.equal([64, 64]);
		expect(names[0]).to.not.equal(names[1]);
	});
});
