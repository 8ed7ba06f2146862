import {expect} from 'chai';
import {createRecords, FakeEntry, getAddress} from '../../../faults/fakes/fleet.js';
import {FakeWires} from '../../../faults/fakes/network.js';
import {FakePlatform} from '../../../faults/fakes/store.js';
import {ManualTimers} from '../../timers/index.js';
import {choosePoller} from '../index.js';

const settleMs = 12_000;

async function startFleet(count: number) {
	const timers = new ManualTimers();
	const platform = new FakePlatform(timers);
	const wires = new FakeWires(timers);
	platform.vms = createRecords(count, ['a']);
	const create = (vm: string) => new FakeEntry({
		vm, domain: 'a', platform, wires, timers,
	});
	const entries = platform.vms.map(record => create(record.vm));
	for (const entry of entries) {
		await entry.start();
	}

	await timers.advance(settleMs);
	return {
		timers, platform, wires, entries, create,
	};
}

describe('Membership', () => {
	it('lists the live members, and detects within seconds that one has stopped', async () => {
		const {entries, timers} = await startFleet(4);
		const first = entries[0];
		const last = entries[3];
		expect(first!.membership.listLive('a').map(member => member.vm)).to.deep.equal(['vm-1', 'vm-2', 'vm-3', 'vm-4']);
		last!.abort();
		await timers.advance(7000);
		expect(first!.membership.listLive('a').map(member => member.vm)).to.deep.equal(['vm-1', 'vm-2', 'vm-3']);
		const stopped = first!.membership.listMembers('a').find(member => member.vm === 'vm-4');
		expect(stopped).to.include({isLive: false, isListed: true});
		expect(first!.history.list(0, 'member/vm-4').map(event => event.kind)).to.deep.equal(['heard', 'silent']);
	});

	it('restarts with a higher incarnation than its peers know, even when its clock went back', async () => {
		const {entries, timers, create} = await startFleet(3);
		const before = entries[1]!.facts.get('member', 'vm-1')!;
		entries[0]!.abort();
		const restarted = create('vm-1');
		restarted.timers.wallShift = -3_600_000;
		await restarted.start();
		await timers.advance(4000);
		const after = entries[1]!.facts.get('member', 'vm-1')!;
		expect(after.version).to.be.above(before.version);
		expect(after.value.incarnation).to.be.above(before.value.incarnation);
	});

	it('acknowledges a closing upstream with the version of its fact and the number of requests that the entry still runs there', async () => {
		const {entries, timers} = await startFleet(3);
		entries[2]!.running.set('e1', 2);
		entries[0]!.facts.merge({
			kind: 'upstream', key: 'e1', version: 5, value: {state: 'closing'},
		});
		await timers.advance(1500);
		const listClosed = () => entries[0]!.membership.listMembers('a').map(member => member.fact?.closed.e1);
		expect(listClosed()).to.deep.equal([{version: 5, running: 0}, {version: 5, running: 0}, {version: 5, running: 2}]);
		entries[2]!.running.set('e1', 0);
		await timers.advance(700);
		expect(listClosed()[2]).to.deep.equal({version: 5, running: 0});
	});

	it('forgets a stopped member, and a late fact does not bring it back', async () => {
		const {entries, timers, platform} = await startFleet(3);
		const lateFact = entries[0]!.facts.get('member', 'vm-3')!;
		entries[2]!.abort();
		platform.vms = platform.vms.slice(0, 2);
		for (let minute = 0; minute < 11; minute++) {
			await timers.advance(60_000);
		}

		expect(entries[0]!.membership.listMembers().map(member => member.vm)).to.deep.equal(['vm-1', 'vm-2']);
		entries[0]!.facts.merge(lateFact);
		expect(entries[0]!.membership.listMembers().map(member => member.vm)).to.deep.equal(['vm-1', 'vm-2']);
	}).timeout(60_000);

	it('finds other members by the seeds alone while the platform is down', async () => {
		const timers = new ManualTimers();
		const platform = new FakePlatform(timers);
		const wires = new FakeWires(timers);
		const entries = ['vm-1', 'vm-2', 'vm-3'].map(vm => new FakeEntry({
			vm, domain: 'a', platform, wires, timers, seeds: [getAddress('vm-1')],
		}));
		for (const entry of entries) {
			entry.vms.isDown = true;
			await entry.start();
		}

		await timers.advance(settleMs);
		for (const entry of entries) {
			expect(entry.membership.listLive('a')).to.have.length(3);
		}
	});
});

describe('choosePoller', () => {
	const members = Array.from({length: 76}, (_, index) => `vm-${index}`);
	const upstreams = Array.from({length: 120}, (_, index) => `engine-${index}`);

	it('chooses one member for each upstream and spreads the upstreams evenly', () => {
		const counts = new Map<string, number>();
		for (const upstream of upstreams) {
			const poller = choosePoller(upstream, members)!;
			counts.set(poller, (counts.get(poller) ?? 0) + 1);
		}

		expect(Math.max(...counts.values())).to.be.at.most(8);
		expect(choosePoller('engine-1', [])).to.equal(undefined);
	});

	it('changes the choice only for the upstreams of a member that leaves', () => {
		const remaining = members.slice(1);
		for (const upstream of upstreams) {
			const before = choosePoller(upstream, members);
			if (before !== members[0]) {
				expect(choosePoller(upstream, remaining.toReversed())).to.equal(before);
			}
		}
	});
});
