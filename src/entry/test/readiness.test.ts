import {expect} from 'chai';
import {serviceKind} from '../../deployment/index.js';
import type {Deployment} from '../../deployment/index.js';
import {FactTable} from '../../feed/index.js';
import {History} from '../../history/index.js';
import {ManualTimers} from '../../timers/index.js';
import {Readiness} from '../readiness.js';

function createService(name: string) {
	return {
		kind: serviceKind.application, name, dependsOn: [], deadlineMs: 1000, nonRepeatable: [],
	} as const;
}

function createUpstream(id: string, service: string) {
	return {
		id, service, domain: 'd1', address: '127.0.0.1:1', fenced: true, pieces: 0,
	};
}

const deployment: Deployment = {
	name: 'test',
	goodputWeight: 0.5,
	domains: ['d1'],
	callers: {requestsPerSecond: 1, tokensPerSecond: 1},
	services: [createService('contracts'), createService('refunds')],
	upstreams: [createUpstream('e1', 'contracts'), createUpstream('s1', 'refunds')],
};

describe('Readiness', () => {
	let timers: ManualTimers;
	let facts: FactTable;
	let known: Deployment | undefined;
	let readiness: Readiness;
	let history: History;

	beforeEach(() => {
		timers = new ManualTimers();
		facts = new FactTable();
		known = deployment;
		history = new History(timers);
		readiness = new Readiness({
			timers, facts, history, getDeployment: () => known,
		});
	});

	const publish = (id: string, state: 'serving' | 'closing') => {
		facts.merge({
			kind: 'upstream', key: id, version: timers.getNow() + 1, value: {state},
		});
	};

	it('is not given without a configuration, however long that takes', async () => {
		known = undefined;
		await timers.advance(60_000);
		expect(readiness.check()).to.deep.equal({isReady: false, lacking: []});
	});

	it('waits until an upstream of each service serves, and says which service lacks one', () => {
		expect(readiness.check()).to.deep.equal({isReady: false, lacking: ['contracts', 'refunds']});
		publish('e1', 'serving');
		publish('s1', 'closing');
		expect(readiness.check()).to.deep.equal({isReady: false, lacking: ['refunds']});
	});

	it('is given at once when all services have one, and stays when an upstream is lost later', async () => {
		publish('e1', 'serving');
		publish('s1', 'serving');
		expect(readiness.check()).to.deep.equal({isReady: true, lacking: []});
		await timers.advance(10);
		publish('e1', 'closing');
		expect(readiness.check()).to.deep.equal({isReady: true, lacking: ['contracts']});
	});

	it('is given after five seconds without an upstream, and the history names the service that lacks one', async () => {
		publish('e1', 'serving');
		expect(readiness.check().isReady).to.equal(false);
		await timers.advance(4999);
		expect(readiness.check().isReady).to.equal(false);
		await timers.advance(1);
		expect(readiness.check()).to.deep.equal({isReady: true, lacking: ['refunds']});
		expect(history.list().at(-1)?.detail).to.contain('refunds');
	});
});
