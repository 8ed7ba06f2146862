import {expect} from 'chai';
import {defaultEngineOptions, EngineCore, LocalEngine} from '../../../standins/engine/index.js';
import type {Deployment, Upstream} from '../../deployment/index.js';
import {FactTable} from '../../feed/index.js';
import {Metrics} from '../../metrics/index.js';
import {FleetView, PrefixCacheIndex} from '../../routing/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	DemandMeter, DemandReporter, DemandView, LoadCollector,
} from '../index.js';

const upstreams: Upstream[] = Array.from({length: 8}, (_value, index) => ({
	id: `engine-${index}`, service: 'contracts', domain: index < 6 ? 'here' : 'there', address: '127.0.0.1:1', fenced: true, pieces: 64,
}));
const deployment: Deployment = {
	name: 'umuhora',
	goodputWeight: 1,
	domains: ['here', 'there'],
	callers: {requestsPerSecond: 1, tokensPerSecond: 1},
	services: [{
		kind: 'model', name: 'contracts', dependsOn: [], model: 'contracts', version: '1', adapters: [], deadlineMs: 1000, firstTokenMs: 900, betweenTokensMs: 54, floor: {prefill: 1, decode: 1},
	}],
	upstreams,
};

function createEntries(names: readonly string[]) {
	const timers = new ManualTimers();
	const engines = new Map(upstreams.map(({id}) => [id, new LocalEngine(new EngineCore(timers, defaultEngineOptions))]));
	const polledIds: string[] = [];
	const entries = names.map(vm => {
		const facts = new FactTable();
		for (const name of names) {
			facts.merge({
				kind: 'member', key: name, version: 1, value: {
					vm: name, domain: 'here', http: '', peer: '', incarnation: 1, state: 'live', configuration: 1, closed: {},
				},
			});
		}

		const view = new FleetView(facts, () => deployment, 'here');
		const collector = new LoadCollector({
			timers,
			facts,
			view,
			prefixes: new PrefixCacheIndex(),
			metrics: new Metrics(),
			vm,
			getEngine(upstream) {
				polledIds.push(upstream.id);
				return engines.get(upstream.id)!;
			},
		});
		return {facts, view, collector};
	});
	return {
		timers, engines, entries, polledIds,
	};
}

describe('LoadCollector', () => {
	it('polls each engine of the domain from exactly one entry', async () => {
		const {entries, polledIds} = createEntries(['vm-1', 'vm-2', 'vm-3']);
		await Promise.all(entries.map(async ({collector}) => collector.collect()));
		expect(polledIds.toSorted()).to.deep.equal(['engine-0', 'engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5']);
	});

	it('publishes loads that changed, and unchanged ones only at longer intervals', async () => {
		const {timers, entries: [entry]} = createEntries(['vm-1']);
		let publishedCount = 0;
		entry!.facts.subscribe(() => {
			publishedCount++;
		});
		entry!.collector.start();
		await timers.advance(10_500);
		expect(publishedCount).to.be.within(12, 18);
	});

	it('publishes the loads of the other engines when one does not answer', async () => {
		const {engines, entries: [entry]} = createEntries(['vm-1']);
		engines.get('engine-0')!.isUnreachable = true;
		await entry!.collector.collect();
		expect(entry!.facts.get('load', 'engine-0')).to.equal(undefined);
		expect(entry!.facts.get('load', 'engine-1')).to.not.equal(undefined);
	});
});

describe('DemandReporter', () => {
	it('publishes the offered demand, which the view sums over the entries and drops when stale', async () => {
		const {timers, entries: [entry]} = createEntries(['vm-1', 'vm-2']);
		const {facts, view} = entry!;
		const demandView = new DemandView({
			timers, facts, view, vm: 'vm-1',
		});
		for (const vm of ['vm-1', 'vm-2']) {
			const meter = new DemandMeter(timers);
			meter.count('contracts', 1000, 100);
			new DemandReporter({
				timers, facts, view, vm,
			}, meter).publish();
		}

		expect(demandView.compute('contracts').promptTokensPerSecond).to.be.within(1800, 2200);
		expect(demandView.compute('contracts', 'there').promptTokensPerSecond).to.equal(0);
		await timers.advance(60_000);
		expect(demandView.compute('contracts').promptTokensPerSecond).to.equal(0);
	});
});
