import {expect} from 'chai';
import type {Deployment, EngineRole, Upstream} from '../../deployment/index.js';
import {FactTable, upstreamState} from '../../feed/index.js';
import {DemandView} from '../../loads/index.js';
import {FleetView, SpeedTable} from '../../routing/index.js';
import {ManualTimers} from '../../timers/index.js';
import {computeCapacityRatio, FleetRolePlanner} from '../index.js';

const domains = ['d-1', 'd-2'];
const prefillHeavyDemand = {requestsPerSecond: 10, promptTokensPerSecond: 90_000, outputTokensPerSecond: 500};
const decodeHeavyDemand = {requestsPerSecond: 10, promptTokensPerSecond: 3000, outputTokensPerSecond: 4000};

function createPlanner(goodputWeight: number, roles: readonly EngineRole[] = ['mixed', 'mixed', 'mixed', 'mixed']) {
	const timers = new ManualTimers();
	const facts = new FactTable();
	const upstreams: Upstream[] = roles.map((_role, index) => ({
		id: `engine-${index}`, service: 'contracts', domain: domains[index % 2]!, address: '127.0.0.1:1', fenced: true, pieces: 64,
	}));
	const deployment: Deployment = {
		name: 'umuhora',
		goodputWeight,
		domains,
		callers: {requestsPerSecond: 1, tokensPerSecond: 1},
		services: [{
			kind: 'model', name: 'contracts', dependsOn: [], model: 'contracts', version: '1', adapters: [], deadlineMs: 1000, firstTokenMs: 900, betweenTokensMs: 54, floor: {prefill: 1, decode: 1},
		}],
		upstreams,
	};
	const view = new FleetView(facts, () => deployment, 'd-1');
	let version = 0;
	const publishState = (id: string, state: 'serving' | 'closing', role: EngineRole) => {
		version++;
		facts.merge({
			kind: 'upstream', key: id, version, value: {
				state, setup: {
					role, model: 'contracts', version: '1', adapters: [],
				},
			},
		});
	};

	const publishMember = (domain: string) => {
		facts.merge({
			kind: 'member', key: domain, version: 1, value: {
				vm: domain, domain, http: '', peer: '', incarnation: 1, state: 'live', configuration: 1, closed: {},
			},
		});
	};

	for (const [index, role] of roles.entries()) {
		publishState(`engine-${index}`, 'serving', role);
	}

	const planner = new FleetRolePlanner({
		timers,
		facts,
		view,
		speeds: new SpeedTable(timers),
		demand: new DemandView({
			timers, facts, view, vm: 'vm-1',
		}),
	});
	planner.start();
	const publishDemand = (value: typeof prefillHeavyDemand) => {
		for (const domain of domains) {
			version++;
			facts.merge({
				kind: 'demand', key: `${domain}/contracts/vm`, version, value,
			});
		}
	};

	for (const domain of domains) {
		publishMember(domain);
	}

	const planFor = async (seconds: number) => {
		for (let second = 0; second < seconds; second++) {
			await timers.advance(1000);
			const change = planner.planChange();
			if (change) {
				return change;
			}
		}

		return undefined;
	};

	return {
		facts, publishDemand, publishState, planFor,
	};
}

describe('computeCapacityRatio', () => {
	it('gives prefill to the engines that are comparatively best at it', () => {
		const prefill = {prefill: 40, decode: 1};
		const decode = {prefill: 10, decode: 4};
		expect(computeCapacityRatio([prefill, decode], {prompt: 40, output: 4})).to.be.closeTo(1, 0.01);
		expect(computeCapacityRatio([prefill], {prompt: 40, output: 1})).to.be.closeTo(0.5, 0.01);
	});
});

describe('FleetRolePlanner', () => {
	it('changes an engine of its own domain to prefill under prefill-heavy demand, and gives the reason in figures', async () => {
		const {publishDemand, planFor} = createPlanner(1);
		publishDemand(prefillHeavyDemand);
		const change = await planFor(60);
		expect(change?.upstream).to.be.oneOf(['engine-0', 'engine-2']);
		expect(change?.role).to.equal('prefill');
		expect(change?.reason).to.match(/answers of d-1 in time: \d+% as mixed, \d+% as prefill/v);
	});

	it('changes an engine to decode under decode-heavy demand', async () => {
		const {publishDemand, planFor} = createPlanner(1);
		publishDemand(decodeHeavyDemand);
		const change = await planFor(60);
		expect(change?.role).to.equal('decode');
	});

	it('plans no change when the demand is met', async () => {
		const {publishDemand, planFor} = createPlanner(1);
		publishDemand({requestsPerSecond: 1, promptTokensPerSecond: 2000, outputTokensPerSecond: 100});
		expect(await planFor(60)).to.equal(undefined);
	});

	it('plans no change while another engine of the fleet is changing', async () => {
		const {publishDemand, publishState, planFor} = createPlanner(1);
		publishDemand(prefillHeavyDemand);
		publishState('engine-1', 'closing', 'mixed');
		expect(await planFor(40)).to.equal(undefined);
	});

	it('plans no change while no entry of any other domain is live', async () => {
		const {facts, publishDemand, planFor} = createPlanner(1);
		publishDemand(prefillHeavyDemand);
		facts.forget('member', 'd-2');
		expect(await planFor(40)).to.equal(undefined);
	});

	it('follows a short swing of the demand only with a high goodput weight', async () => {
		const planAfterSwing = async (weight: number) => {
			const {publishDemand, planFor} = createPlanner(weight);
			publishDemand({requestsPerSecond: 1, promptTokensPerSecond: 2000, outputTokensPerSecond: 100});
			await planFor(60);
			publishDemand(prefillHeavyDemand);
			return planFor(10);
		};

		expect(await planAfterSwing(1)).to.not.equal(undefined);
		expect(await planAfterSwing(0)).to.equal(undefined);
	});

	it('keeps the minimum number of engines for each role', async () => {
		const {publishDemand, planFor} = createPlanner(1, ['mixed', 'prefill', 'prefill', 'prefill']);
		publishDemand(prefillHeavyDemand);
		const change = await planFor(60);
		expect(change?.upstream).to.not.equal('engine-0');
	});
});
