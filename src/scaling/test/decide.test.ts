import {expect} from 'chai';
import {createGroups, decideOrders} from '../index.js';
import type {EngineGroup, ScalingFacts, WorkSummary} from '../index.js';
import {spec} from './world.js';

/** Work that needs eight engines, and five while engines are being replaced. */
const work: WorkSummary = {
	peakWork: 3000, recentWork: 2500, earlierWork: 2500, peakSlots: 20, waiting: 0, recentRequests: 90, recentLate: 0,
};

function createGroup(domain: string, isSpot: boolean, serving: number, changes: Partial<EngineGroup> = {}): EngineGroup {
	return {
		domain, isSpot, ordered: serving, serving, prefillOnly: 0, available: spec.maxEngines, proven: spec.maxEngines, isShort: false, ...changes,
	};
}

/** Decides for three failure domains with the given spot engines and others. */
function decideFor(spot: readonly number[], others: readonly number[], changes: Partial<ScalingFacts> = {}, groupChanges: Partial<EngineGroup> = {}): Record<string, number> {
	const groups = ['a', 'b', 'c'].flatMap((domain, index) => [createGroup(domain, true, spot[index]!, groupChanges), createGroup(domain, false, others[index]!)]);
	const {orders} = decideOrders({
		service: 'model', spec, groups, slotsPerEngine: 8, work, isSettled: true, canRemove: true, minNeed: 0, ...changes,
	});
	return Object.fromEntries(orders.map(({domain, isSpot, desired}) => [`${domain}${isSpot ? '' : ' other'}`, desired]));
}

describe('decideOrders', () => {
	it('orders the spot engines needed, of which those needed for a while are left without any failure domain, the dearest domain with the fewest', () => {
		// Five of eight are left.
		expect(decideFor([0, 0, 0], [0, 0, 0])).to.deep.equal({a: 3, b: 3, c: 2});
		expect(decideFor([0, 0, 0], [0, 0, 0], {work: {...work, peakWork: 2600}})).to.deep.equal({a: 3, b: 3, c: 1});
		// Of two domains each has the five. Fails where the margin for a lost failure domain is missing.
		const groups = ['a', 'b'].flatMap(domain => [createGroup(domain, true, 1), createGroup(domain, false, 0)]);
		const {orders} = decideOrders({
			service: 'model', spec, groups, slotsPerEngine: 8, work, isSettled: true, canRemove: true, minNeed: 0,
		});
		expect(orders.map(({domain, desired}) => [domain, desired])).to.deep.equal([['a', 5], ['b', 5]]);
	});

	it('removes no other engine before the spot engines that take its place serve', () => {
		// Fails where what is ordered counts as serving.
		expect(decideFor([0, 0, 0], [3, 3, 2], {}, {ordered: 3, serving: 0})).not.to.have.any.keys('a other', 'b other', 'c other');
		expect(decideFor([3, 3, 2], [3, 3, 2])).to.deep.equal({'c other': 0});
		expect(decideFor([3, 3, 1], [0, 0, 2])).to.deep.equal({c: 2, 'c other': 1});
	});

	it('removes nothing while requests wait, before the load is known, or soon after a removal', () => {
		for (const changes of [{work: {...work, waiting: 1}}, {canRemove: false}]) {
			expect(decideFor([4, 4, 4], [4, 4, 4], changes)).to.deep.equal({});
		}

		expect(decideFor([0, 0, 0], [4, 4, 4], {isSettled: false}, {ordered: 4, serving: 0})).to.deep.equal({});
		expect(decideFor([4, 4, 4], [0, 0, 0], {isSettled: false})).to.deep.equal({});
	});

	it('lets those engines go before the load is known in whose place spot engines serve, and no more', () => {
		// Fails where the number that serves may fall, and where both kinds are kept until the load is known.
		expect(decideFor([4, 4, 4], [4, 4, 4], {isSettled: false})).to.deep.equal({'a other': 0, 'b other': 0, 'c other': 0});
		expect(decideFor([0, 0, 0], [4, 4, 4], {isSettled: false}, {ordered: 4, serving: 1})).to.deep.equal({'a other': 3, 'b other': 3, 'c other': 3});
		expect(decideFor([4, 4, 4], [4, 4, 4], {isSettled: false, work: {...work, waiting: 1}})).to.deep.equal({});
	});

	it('keeps what is needed for a while without any failure domain when it removes engines', () => {
		// Without failure domain c just the five engines are left that are needed for a while. Fails where only the sum counts.
		expect(decideFor([3, 0, 12], [0, 2, 0], {}, {available: 12})).not.to.have.property('b other');
	});

	it('replaces spot engines that can\'t be had by those of other failure domains, and by other engines where that is not enough', () => {
		const createAll = (available: readonly number[]) => ['a', 'b', 'c'].flatMap((domain, index) => [
			createGroup(domain, true, 4, {
				serving: Math.min(4, available[index]!), available: available[index]!, proven: available[index]!, isShort: available[index]! < 4,
			}), createGroup(domain, false, 0),
		]);
		const decide = (available: readonly number[], offered = work) => decideOrders({
			service: 'model', spec, groups: createAll(available), slotsPerEngine: 8, work: offered, isSettled: true, canRemove: true, minNeed: 0,
		}).orders.map(({domain, isSpot, desired}) => `${domain} ${isSpot ? 'spot' : 'other'} ${desired}`);
		expect(decide([0, 10, 10], {...work, peakWork: 4500})).to.deep.equal(['a other 1', 'b spot 6', 'c spot 6']);
		expect(decide([0, 0, 10]).filter(order => order.includes('other'))).to.have.length.above(0);
	});

	it('orders others where the maximum leaves too little without the spot engines of a failure domain', () => {
		const tight = {...spec, maxEngines: 3};
		expect(decideFor([3, 3, 3], [0, 0, 0], {spec: tight, work: {...work, peakWork: 4500}})).to.deep.equal({c: 2});
		expect(decideFor([3, 3, 2], [0, 0, 0], {spec: tight, work: {...work, peakWork: 4500}})).to.deep.equal({'c other': 1});
	});

	it('leaves an engine of each stage whichever of a group the platform removes', () => {
		const groups = [createGroup('a', true, 10), createGroup('a', false, 0), createGroup('b', true, 10, {prefillOnly: 2}), createGroup('b', false, 0)];
		const {orders} = decideOrders({
			service: 'model', spec, groups, slotsPerEngine: 8, work: {
				...work, peakWork: 300, recentWork: 300, earlierWork: 300, peakSlots: 1,
			}, isSettled: true, canRemove: true, minNeed: 0,
		});
		expect(orders).to.deep.equal([{
			service: 'model', domain: 'a', isSpot: true, desired: 6,
		}, {
			service: 'model', domain: 'b', isSpot: true, desired: 9,
		}]);
	});

	it('counts on no engine that was lost, and on none beyond those ordered where no more can be had', () => {
		const state = {
			domain: 'a', isSpot: true, accepted: 4, desired: 4, isUnsent: false, isConfirmed: true, raisedAt: 0, changedAt: 0, sentAt: 0, unavailableUntil: 0, refusedAt: Number.NEGATIVE_INFINITY,
		};
		const engine = {
			domain: 'a', isSpot: true, slots: 8, isLeaving: false, isReclaimed: false, isServing: true, isPrefillOnly: false,
		};
		const reclaimed = {
			...engine, isLeaving: true, isReclaimed: true, isServing: false,
		};
		expect(createGroups([state], [engine], spec, 60_000)[0]).to.include({serving: 1, available: 1, isShort: true});
		// Those that were ordered may still boot, unless some are being reclaimed.
		expect(createGroups([state], [engine], spec, 3000)[0]).to.include({available: spec.maxEngines, isShort: false});
		expect(createGroups([state], [engine, reclaimed], spec, 3000)[0]).to.include({serving: 1, available: 1, isShort: true});
		expect(createGroups([{...state, unavailableUntil: 5000}], [engine], spec, 3000)[0]).to.include({available: 4, isShort: false});
		expect(createGroups([{...state, unavailableUntil: 2000, refusedAt: 0}], [engine], spec, 3000)[0]).to.include({available: spec.maxEngines, proven: 4});
	});
});
