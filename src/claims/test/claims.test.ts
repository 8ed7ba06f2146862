import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {CallWorld} from '../../../faults/fakes/callworld.js';
import {serviceFault} from '../../../faults/fakes/services.js';
import {KeyPendingError, NotRunError} from '../../errors/index.js';
import {decideClaim, maxBucketRecords} from '../index.js';
import type {ClaimRecord} from '../index.js';

const dayMs = 86_400_000;

function createClaimRequest(key: string, changes: Partial<ClaimRecord> = {}) {
	return {
		key, call: 'c', token: 't', due: 1000, until: dayMs, ...changes,
	};
}

describe('keyed calls', () => {
	it('gives a repeat through another entry the same answer and runs once', async () => {
		const world = new CallWorld();
		const first = await world.settle(world.first.start({key: 'k'}));
		const second = await world.settle(world.second.start({key: 'k'}));
		expect(second.outcome?.kind).to.equal('done');
		expect(second.outcome?.kind === 'done' && Buffer.from(second.outcome.answer.body).toString())
			.to.equal(first.outcome?.kind === 'done' && Buffer.from(first.outcome.answer.body).toString());
		expect(world.runs).to.have.lengthOf(1);
	});

	it('refuses another call under the same key', async () => {
		const world = new CallWorld();
		await world.settle(world.first.start({key: 'k'}));
		const other = await world.settle(world.second.start({key: 'k', body: 'refund 8'}));
		expect(other.outcome?.kind === 'not_run' && other.outcome.error.reason).to.equal('key_conflict');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('keeps the keys of two callers apart', async () => {
		const world = new CallWorld();
		const call = {
			service: 's', key: 'k', content: ['POST'], deadlineMs: 1000,
		};
		const [one, other] = await Promise.all([
			world.first.claims.take({...call, caller: 'a'}), world.second.claims.take({...call, caller: 'b'}), world.timers.advance(100),
		]);
		expect(one.claim.key).not.to.equal(other.claim.key);
		expect(other.decision.result).to.equal('taken');
	});

	it('tells a repeat to come back while the first one runs, and then gives the answer', async () => {
		const world = new CallWorld();
		world.getService('s1').faults.push(serviceFault.silent);
		const first = world.first.start({key: 'k'});
		await world.timers.advance(100);
		const early = await world.settle(world.second.start({key: 'k'}));
		expect(early.error).to.be.instanceOf(KeyPendingError);
		await world.settle(first);
		const late = await world.settle(world.second.start({key: 'k'}));
		expect(late.outcome?.kind).to.equal('unknown');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('refuses a keyed call as not run while the store is down, and runs it later', async () => {
		const world = new CallWorld();
		world.first.store.isDown = true;
		const refused = await world.settle(world.first.start({key: 'k'}));
		expect(refused.outcome?.kind === 'not_run' && refused.outcome.error.reason).to.equal('store_down');
		expect(world.runs).to.have.lengthOf(0);
		world.first.store.isDown = false;
		const later = await world.settle(world.first.start({key: 'k'}));
		expect(later.outcome?.kind).to.equal('done');
	});

	it('gives up on a store that hangs and never sends the call, also when the claim arrives late', async () => {
		const world = new CallWorld();
		world.first.store.delayMs = 3000;
		const refused = await world.settle(world.first.start({key: 'k'}));
		expect(refused.outcome?.kind === 'not_run' && refused.outcome.error.reason).to.equal('store_down');
		world.first.store.delayMs = 0;
		await world.timers.advance(10_000);
		expect(world.runs).to.have.lengthOf(0);
		const later = await world.settle(world.second.start({key: 'k'}));
		expect(later.outcome?.kind).to.equal('done');
		expect(world.first.claims.countHeld()).to.include({waiting: 0, unsettled: 0});
	});

	it('takes its own claim for taken when the answer to the write was lost', async () => {
		const world = new CallWorld();
		world.first.store.lostAnswers = 1;
		const record = await world.settle(world.first.start({key: 'k'}));
		expect(record.outcome?.kind).to.equal('done');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('writes the end in the background when the store goes down after the send', async () => {
		const world = new CallWorld();
		const record = world.first.start({
			key: 'k',
			hooks: {
				onBefore(step) {
					world.first.store.isDown = step.name === 'settle the claim';
				},
			},
		});
		await world.settle(record);
		expect(record.outcome?.kind).to.equal('done');
		world.first.store.isDown = false;
		await world.timers.advance(5000);
		const repeat = await world.settle(world.second.start({key: 'k'}));
		expect(repeat.outcome?.kind).to.equal('done');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('puts the claims that wait into one write', async () => {
		const world = new CallWorld();
		world.first.store.delayMs = 5;
		const call = {
			service: 's', caller: 'a', key: 'k', deadlineMs: 60_000,
		};
		const claims = Array.from({length: 50}, async (_, index) => world.first.claims.take({...call, content: [String(index)]}));
		await world.timers.advance(200);
		const results = await Promise.all(claims);
		expect(results.filter(({decision}) => decision.result === 'taken')).to.have.lengthOf(1);
		expect(world.platform.journal).to.have.lengthOf(1);
	});
});

describe('decideClaim', () => {
	it('refuses when the bucket is full and drops nothing before its time', () => {
		const bucket = new Map<string, ClaimRecord>();
		for (let index = 0; index < maxBucketRecords; index++) {
			decideClaim(bucket, createClaimRequest(`k${index}`), 0);
		}

		expect(decideClaim(bucket, createClaimRequest('more'), dayMs - 1).result).to.equal('full');
		expect(bucket.size).to.equal(maxBucketRecords);
		expect(decideClaim(bucket, createClaimRequest('more'), 2 * dayMs).result).to.equal('taken');
		expect(bucket.size).to.equal(1);
	});

	it('reports a claim that nobody settled as unknown from its deadline on, and never as free', () => {
		const bucket = new Map<string, ClaimRecord>();
		decideClaim(bucket, createClaimRequest('k'), 0);
		const repeat = createClaimRequest('k', {token: 'u'});
		expect(decideClaim(bucket, repeat, 999).result).to.equal('pending');
		expect(decideClaim(bucket, repeat, 1000).result).to.equal('unknown');
		expect(decideClaim(bucket, repeat, dayMs).result).to.equal('unknown');
	});

	it('takes a key again whose call was proved not to have been sent', () => {
		const bucket = new Map<string, ClaimRecord>();
		decideClaim(bucket, createClaimRequest('k'), 0);
		bucket.set('k', {...bucket.get('k')!, state: 'not_run'});
		expect(decideClaim(bucket, createClaimRequest('k', {token: 'u'}), 1).result).to.equal('taken');
	});
});
