import {expect} from 'chai';
import {createTimes} from '../times.js';
import {requestKind} from '../types.js';
import type {GatewayRequest, Route} from '../types.js';

const route: Route = {
	name: 'check', host: 'a.example', pathPrefix: '/check/', kind: requestKind.stream, shares: [{service: 'llm', weight: 1}],
	timeoutMs: 2000, targetMs: 120, firstByteTimeoutMs: 2000, maxRuns: 1, priority: 0, isResumable: false,
};

function createRequest(callerDeadlineMs: number | undefined): GatewayRequest {
	return {
		id: 'r', method: 'POST', host: 'a.example', path: '/check/1', headers: [], body: new Uint8Array(), arrivedAt: 5000, callerDeadlineMs, prompt: undefined, resumeAfter: undefined,
	};
}

describe('createTimes', () => {
	it('gives a first attempt its target less the network delay to and from the caller', () => {
		const {targetAt, deadlineAt} = createTimes(createRequest(1900), route);
		expect(targetAt).to.equal(5108);
		expect(deadlineAt).to.equal(6900);
	});

	it('treats a caller that has used a sixth of its time as a retry, whose target has passed', () => {
		const {targetAt, deadlineAt} = createTimes(createRequest(1600), route);
		expect(targetAt).to.be.below(5000);
		expect(deadlineAt).to.equal(6600);
	});

	it('limits the deadline to the timeout of the route, also when the caller sends none or a longer one', () => {
		expect(createTimes(createRequest(undefined), route)).to.deep.equal({targetAt: 5108, deadlineAt: 7000});
		expect(createTimes(createRequest(60_000), route)).to.deep.equal({targetAt: 5108, deadlineAt: 7000});
	});
});
