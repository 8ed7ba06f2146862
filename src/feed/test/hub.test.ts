import {expect} from 'chai';
import fc from 'fast-check';
import {createRecords, FakeEntry} from '../../../faults/fakes/fleet.js';
import {FakeWires} from '../../../faults/fakes/network.js';
import {FakePlatform} from '../../../faults/fakes/store.js';
import {ManualTimers} from '../../timers/index.js';
import {FactTable} from '../index.js';

const convergenceMs = 12_000;
/** Time within which a configuration has to reach every entry, in milliseconds. */
const maxBroadcastMs = 5000;

async function startFleet(count: number, domains: readonly string[]) {
	const timers = new ManualTimers();
	const platform = new FakePlatform(timers);
	const wires = new FakeWires(timers);
	platform.vms = createRecords(count, domains);
	const entries = platform.vms.map(record => new FakeEntry({
		vm: record.vm, domain: record.domain, platform, wires, timers,
	}));
	for (const entry of entries) {
		await entry.start();
	}

	await timers.advance(convergenceMs);
	return {
		timers, platform, wires, entries,
	};
}

function publishState(entry: FakeEntry, version: number): void {
	entry.facts.merge({
		kind: 'upstream', key: 'e1', version, value: {state: 'closing'},
	});
}

describe('FeedHub', function () {
	this.timeout(60_000);

	it('builds one broadcast tree per failure domain with at most 5 connections per entry on average', async () => {
		const {entries} = await startFleet(24, ['a']);
		const roots = new Set(entries.map(entry => entry.hub.gossip.tree.position.root));
		expect(roots.size).to.equal(1);
		expect(entries.filter(entry => entry.hub.gossip.tree.parentLinkId === undefined)).to.have.length(1);
		const links = entries.reduce((sum, entry) => sum + entry.hub.gossip.countLinks(), 0);
		expect(links / entries.length).to.be.at.most(5);
	});

	it('broadcasts a fact to every entry of every failure domain and sends it less than twice per entry', async () => {
		const {entries, timers, wires} = await startFleet(24, ['a', 'b']);
		let sent = 0;
		wires.onSent = (_from, _to, message) => {
			sent += message.kind === 'facts' ? message.facts.filter(fact => fact.kind === 'upstream').length : 0;
		};

		publishState(entries[5]!, 1);
		await timers.advance(maxBroadcastMs);
		expect(entries.filter(entry => entry.facts.get('upstream', 'e1')?.version !== 1)).to.have.length(0);
		expect(sent).to.be.below(2 * entries.length);
	});

	it('broadcasts facts after the root is killed, and the other entries choose a new root', async () => {
		const {entries, timers} = await startFleet(12, ['a']);
		const {root} = entries[0]!.hub.gossip.tree.position;
		const survivors = entries.filter(entry => entry.vm !== root);
		entries.find(entry => entry.vm === root)!.abort();
		publishState(survivors[0]!, 1);
		await timers.advance(maxBroadcastMs);
		expect(survivors.filter(entry => entry.facts.get('upstream', 'e1')?.version !== 1)).to.have.length(0);
		await timers.advance(maxBroadcastMs);
		expect(new Set(survivors.map(entry => entry.hub.gossip.tree.position.root)).size).to.equal(1);
	});

	it('replaces silent connections', async () => {
		const {entries, timers, wires} = await startFleet(6, ['a']);
		for (const entry of entries) {
			wires.setSilent(entry.address);
		}

		publishState(entries[0]!, 1);
		await timers.advance(2 * maxBroadcastMs);
		expect(entries.filter(entry => entry.facts.get('upstream', 'e1')?.version !== 1)).to.have.length(0);
	});

	it('brings a fact to a failure domain that was partitioned when the fact was published', async () => {
		const {entries, timers, wires} = await startFleet(8, ['a', 'b']);
		const [left, right] = ['a', 'b'].map(domain => entries.filter(entry => entry.membership.localMember.createFact().domain === domain));
		for (const from of left!) {
			for (const to of right!) {
				wires.setFault(from.address, to.address, 'cut');
				wires.setFault(to.address, from.address, 'cut');
			}
		}

		publishState(left![0]!, 3);
		await timers.advance(20_000);
		expect(right!.every(entry => entry.facts.get('upstream', 'e1') === undefined)).to.equal(true);
		wires.faults.clear();
		await timers.advance(20_000);
		expect(entries.filter(entry => entry.facts.get('upstream', 'e1')?.version !== 3)).to.have.length(0);
	});
});

describe('FactTable', () => {
	it('reaches the same state whatever the order of facts and however often they arrive', () => {
		const fact = fc.record({
			kind: fc.constant('upstream' as const),
			key: fc.constantFrom('e1', 'e2', 'e3'),
			version: fc.nat(20),
		}).map(generated => ({...generated, value: {state: generated.version % 2 === 0 ? 'serving' as const : 'closing' as const}}));
		fc.assert(fc.property(fc.array(fact), fc.infiniteStream(fc.nat()), (facts, keys) => {
			const inOrder = new FactTable();
			const outOfOrder = new FactTable();
			for (const item of facts) {
				inOrder.merge(item);
			}

			const shuffled = [...facts, ...facts].map(item => ({item, key: Number(keys.next().value)})).toSorted((a, b) => a.key - b.key);
			for (const {item} of shuffled) {
				const previousVersion = outOfOrder.get(item.kind, item.key)?.version ?? -1;
				outOfOrder.merge(item);
				expect(outOfOrder.get(item.kind, item.key)!.version).to.be.at.least(previousVersion);
			}

			const list = (table: FactTable) => table.list('upstream').toSorted((a, b) => a.key.localeCompare(b.key));
			expect(list(outOfOrder)).to.deep.equal(list(inOrder));
		}), {seed: 1});
	});
});
