import {expect} from 'chai';
import {serviceKind} from '../../deployment/index.js';
import type {Deployment, ModelService} from '../../deployment/index.js';
import {computeDomainMinimum} from '../roleminimum.js';

const service: ModelService = {
	kind: serviceKind.model, name: 's', dependsOn: [], model: 'm', version: '1', adapters: [], deadlineMs: 1, firstTokenMs: 1, betweenTokensMs: 1, floor: {prefill: 3, decode: 1},
};

function createDeployment(engines: Readonly<Record<string, number>>): Deployment {
	return {
		name: 'n',
		goodputWeight: 0.5,
		domains: Object.keys(engines),
		callers: {requestsPerSecond: 1, tokensPerSecond: 1},
		services: [service],
		upstreams: Object.entries(engines).flatMap(([domain, count]) => Array.from({length: count}, (_, index) => ({
			id: `${domain}-${index}`, service: 's', domain, address: '', fenced: true, pieces: 1,
		}))),
	};
}

describe('computeDomainMinimum', () => {
	it('splits a minimum over the domains so that the parts add up to it', () => {
		const deployment = createDeployment({a: 4, b: 2, c: 2});
		const minimums = ['a', 'b', 'c'].map(domain => computeDomainMinimum(deployment, service, 'prefill', domain));
		expect(minimums.reduce((sum, minimum) => sum + minimum, 0)).to.equal(3);
		expect(minimums[0]).to.be.greaterThan(0);
	});

	it('always allows one engine of a domain to be taken out of service', () => {
		expect(computeDomainMinimum(createDeployment({a: 1}), service, 'decode', 'a')).to.equal(0);
	});
});
