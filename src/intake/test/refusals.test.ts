import {expect} from 'chai';
import {
	chooseIdle, computeIntakeBounds, isBodyLate, selectRefused,
} from '../index.js';

describe('what is refused first', () => {
	it('is what holds most for longest, and no more than the excess and half of it', () => {
		const holders = [
			{name: 'new and large', heldBytes: 1000, waitingSince: 990},
			{name: 'old and large', heldBytes: 1000, waitingSince: 0},
			{name: 'old and small', heldBytes: 5, waitingSince: 0},
			{name: 'old and middling', heldBytes: 500, waitingSince: 100},
		];
		expect(selectRefused(holders, 900, 1000).map(({name}) => name)).to.deep.equal(['old and large', 'old and middling']);
		expect(selectRefused(holders, 0, 1000)).to.deep.equal([]);
	});

	it('is, of too many connections, the one that has been idle for longest, and none in use', () => {
		const connections = [{isIdle: false, idleSince: 1}, {isIdle: true, idleSince: 3}, {isIdle: true, idleSince: 2}];
		expect(chooseIdle(connections)).to.equal(connections[2]);
		expect(chooseIdle(connections.slice(0, 1))).to.equal(undefined);
	});
});

// Guards against a time limit that a slow caller inside the configuration's limits reaches.
describe('the time limit of a body', () => {
	const idleTimeoutMs = 15_000;

	it('is not reached by a caller that sends steadily, and slowly', () => {
		for (let now = 0; now <= 600_000; now += 1000) {
			const receivedBytes = now * 0.3;
			expect(isBodyLate({startedAt: 0, receivedAt: now, receivedBytes}, idleTimeoutMs, 256, now + 10_000)).to.equal(false);
		}
	});

	it('is reached by one that stops, or sends a byte now and then', () => {
		expect(isBodyLate({startedAt: 0, receivedAt: 5000, receivedBytes: 4_000_000}, idleTimeoutMs, 256, 20_001)).to.equal(true);
		expect(isBodyLate({startedAt: 0, receivedAt: 15_900, receivedBytes: 16}, idleTimeoutMs, 256, 16_000)).to.equal(true);
	});
});

describe('the bounds of a machine', () => {
	it('leave 200 descriptors and those of other entries, and fit the smallest machine', () => {
		const bounds = computeIntakeBounds({memoryMb: 210, maxDescriptors: 4100});
		expect(bounds.maxConnections).to.equal(1680);
		expect(bounds.maxBytes + bounds.maxPeerQueuedBytes).to.be.at.most(0.2 * 210 * 1_048_576);
		const few = computeIntakeBounds({memoryMb: 602, maxDescriptors: 400});
		expect(few.maxConnections + few.maxPeerConnections + 200).to.equal(400);
	});

	it('are replaced by those that the operator sets', () => {
		expect(computeIntakeBounds({memoryMb: 210, maxDescriptors: 4100}, {maxBytes: 1_000_000})).to.include({maxBytes: 1_000_000, reservedBytes: 250_000});
	});
});
