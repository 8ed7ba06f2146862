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

describe('calls with an idempotency key', () => {
	it('answers a repeat through another entry with the same answer and runs the call once', async () => {
		const world = new CallWorld();
		const first = await world.settle(world.first.start({key: 'k'}));
		const second = await world.settle(world.second.start({key: 'k'}));
		expect(second.outcome?.kind).to.equal('done');
		expect(second.outcome?.kind === 'done' && Buffer.from(second.outcome.answer.body).toString())
			.to.equal(first.outcome?.kind === 'done' && Buffer.from(first.outcome.answer.body).toString());
		expect(world.runs).to.have.lengthOf(1);
	});

	it('refuses another call with the same key', async () => {
		const world = new CallWorld();
		await world.settle(world.first.start({key: 'k'}));
		const other = await world.settle(world.second.start({key: 'k', body: 'refund 8'}));
		expect(other.outcome?.kind === 'not_run' && other.outcome.error.reason).to.equal('key_conflict');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('treats the same key of two callers as two keys', async () => {
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

	it('rejects a repeat with KeyPendingError while the first call may be running, and answers it as unknown when the first got no answer', async () => {
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

	it('refuses a call as not run while the store is down, and runs it once the store is back', async () => {
		const world = new CallWorld();
		world.first.store.isDown = true;
		const refused = await world.settle(world.first.start({key: 'k'}));
		expect(refused.outcome?.kind === 'not_run' && refused.outcome.error.reason).to.equal('store_down');
		expect(world.runs).to.have.lengthOf(0);
		world.first.store.isDown = false;
		const later = await world.settle(world.first.start({key: 'k'}));
		expect(later.outcome?.kind).to.equal('done');
	});

	it('refuses a call as not run when the store does not answer in time, and never sends it even if its claim is written later', async () => {
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

	it('recognizes its own claim when the answer to its write was lost', async () => {
		const world = new CallWorld();
		world.first.store.lostAnswers = 1;
		const record = await world.settle(world.first.start({key: 'k'}));
		expect(record.outcome?.kind).to.equal('done');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('writes the outcome in the background when the store goes down after the call was sent', async () => {
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

	it('writes the claims that wait for the same bucket together', async () => {
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
	it('refuses a claim when the bucket is full, and removes no record before it expires', () => {
		const bucket = new Map<string, ClaimRecord>();
		for (let index = 0; index < maxBucketRecords; index++) {
			decideClaim(bucket, createClaimRequest(`k${index}`), 0);
		}

		expect(decideClaim(bucket, createClaimRequest('more'), dayMs - 1).result).to.equal('full');
		expect(bucket.size).to.equal(maxBucketRecords);
		expect(decideClaim(bucket, createClaimRequest('more'), 2 * dayMs).result).to.equal('taken');
		expect(bucket.size).to.equal(1);
	});

	it('reports a claim that was not settled as unknown once it is due, and never grants its key again', () => {
		const bucket = new Map<string, ClaimRecord>();
		decideClaim(bucket, createClaimRequest('k'), 0);
		const repeat = createClaimRequest('k', {token: 'u'});
		expect(decideClaim(bucket, repeat, 999).result).to.equal('pending');
		expect(decideClaim(bucket, repeat, 1000).result).to.equal('unknown');
		expect(decideClaim(bucket, repeat, dayMs).result).to.equal('unknown');
	});

	it('grants a key again when its call was proved not to have been sent', () => {
		const bucket = new Map<string, ClaimRecord>();
		decideClaim(bucket, createClaimRequest('k'), 0);
		bucket.set('k', {...bucket.get('k')!, state: 'not_run'});
		expect(decideClaim(bucket, createClaimRequest('k', {token: 'u'}), 1).result).to.equal('taken');
	});
});
