import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {CallWorld} from '../../../faults/fakes/callworld.js';
import {createServiceAnswer, serviceFault} from '../../../faults/fakes/services.js';
import type {ServiceFault} from '../../../faults/fakes/services.js';
import type {StepHooks} from '../../procedures/index.js';
import {isRepeatable} from '../index.js';

const ranFaults: readonly ServiceFault[] = [serviceFault.answerLost, serviceFault.answerCut, serviceFault.foreign, serviceFault.silent];
const notRunFaults: readonly ServiceFault[] = [serviceFault.refuse, serviceFault.connectFails];

describe('a call that may not be repeated', () => {
	for (const fault of ranFaults) {
		it(`is never sent again after "${fault}", and reported as unknown`, async () => {
			const world = new CallWorld();
			world.getService('s1').faults.push(fault);
			const record = await world.settle(world.first.start());
			expect(record.outcome?.kind).to.equal('unknown');
			expect(world.runs).to.have.lengthOf(1);
			expect(world.first.router.countInFlight('s1')).to.equal(0);
		});
	}

	for (const fault of notRunFaults) {
		it(`is tried elsewhere after "${fault}", and runs once`, async () => {
			const world = new CallWorld();
			world.getService('s1').faults.push(fault);
			const record = await world.settle(world.first.start());
			expect(record.outcome?.kind).to.equal('done');
			expect(world.runs).to.have.lengthOf(1);
		});
	}

	for (const [fault, reason] of [[serviceFault.connectFails, 'connect_failed'], [serviceFault.refuse, 'refused_not_run']] as const) {
		it(`counts its retry after "${fault}" as ${reason}`, async () => {
			const world = new CallWorld();
			world.getService('s1').faults.push(fault);
			await world.settle(world.first.start());
			expect(await world.first.metrics.format()).to.match(new RegExp(`retries.*reason="${reason}".* 1`, 'v'));
		});
	}

	it('does not use a pooled connection that is silent', async () => {
		const world = new CallWorld();
		world.getService('s1').silentPooled = 2;
		const record = await world.settle(world.first.start());
		expect(record.outcome?.kind).to.equal('done');
	});

	it('is not sent to an instance that closed after it was chosen', async () => {
		const world = new CallWorld();
		world.first.publish('s2', 'closing', 1);
		const record = world.first.start({
			hooks: {
				onBefore(step) {
					if (step.name === 'send the call') {
						world.first.publish('s1', 'closing', 1);
					}
				},
			},
		});
		await world.settle(record);
		expect(record.outcome?.kind).to.equal('not_run');
		expect(world.runs).to.have.lengthOf(0);
	});

	it('is not tried again when the retry budget is spent', async () => {
		const world = new CallWorld();
		world.first.router.retriesLeft = 0;
		world.getService('s1').faults.push(serviceFault.refuse);
		const record = await world.settle(world.first.start());
		expect(record.outcome?.kind).to.equal('not_run');
	});
});

describe('a call that may be repeated', () => {
	for (const [fault, reason] of [[serviceFault.connectFails, 'connect_failed'], [serviceFault.refuse, 'refused_not_run']] as const) {
		it(`counts its retry after "${fault}" as ${reason}`, async () => {
			const world = new CallWorld();
			world.getService('s1').faults.push(fault);
			await world.settle(world.first.start({isRepeatable: true}));
			expect(await world.first.metrics.format()).to.match(new RegExp(`retries.*reason="${reason}".* 1`, 'v'));
		});
	}

	for (const fault of [...ranFaults.filter(fault => fault !== serviceFault.silent), ...notRunFaults]) {
		it(`gets its whole answer from another instance after "${fault}"`, async () => {
			const world = new CallWorld();
			world.getService('s1').faults.push(fault);
			const record = await world.settle(world.first.start({isRepeatable: true}));
			const {outcome} = record;
			expect(outcome?.kind === 'done' && Buffer.from(outcome.answer.body).toString()).to.equal(createServiceAnswer('refund 7', world.runs.length));
		});
	}

	/** Closes both instances once the call has run at the first. */
	function createClosingHooks(world: CallWorld): StepHooks {
		return {
			onBefore(step) {
				if (step.name === 'choose an instance' && world.runs.length === 1) {
					world.first.publish('s1', 'closing', 1);
					world.first.publish('s2', 'closing', 1);
				}
			},
		};
	}

	it('that may have run is sent again as soon as an instance takes it, before the deadline', async () => {
		const world = new CallWorld();
		world.getService('s1').faults.push(serviceFault.answerLost);
		const record = world.first.start({isRepeatable: true, hooks: createClosingHooks(world)});
		await world.timers.advance(1100);
		expect(record.isSettled).to.equal(false);
		world.first.publish('s2', 'serving', 2);
		await world.settle(record);
		expect(record.outcome?.kind).to.equal('done');
		expect(world.runs).to.have.lengthOf(2);
	});

	it('that may have run is reported as unknown when no instance takes it until the deadline', async () => {
		const world = new CallWorld();
		world.getService('s1').faults.push(serviceFault.answerLost);
		const record = world.first.start({isRepeatable: true, hooks: createClosingHooks(world)});
		await world.timers.advance(4999);
		expect(record.isSettled).to.equal(false);
		await world.timers.advance(1);
		expect(record.outcome?.kind).to.equal('unknown');
		expect(world.runs).to.have.lengthOf(1);
		expect(world.timers.countPending()).to.equal(0);
	});

	it('that may have run is reported as unknown when the next instance refuses it and the retry budget is spent', async () => {
		const world = new CallWorld();
		world.first.router.retriesLeft = 1;
		world.getService('s1').faults.push(serviceFault.answerLost);
		world.getService('s2').faults.push(serviceFault.refuse);
		const record = await world.settle(world.first.start({isRepeatable: true}));
		expect(record.outcome?.kind).to.equal('unknown');
		expect(world.runs).to.have.lengthOf(1);
	});

	it('ends at its deadline, reported as unknown', async () => {
		const world = new CallWorld();
		world.getService('s1').faults.push(serviceFault.silent);
		const record = world.first.start({isRepeatable: true});
		await world.timers.advance(4999);
		expect(record.isSettled).to.equal(false);
		await world.timers.advance(1);
		expect(record.outcome?.kind).to.equal('unknown');
		expect(world.timers.countPending()).to.equal(0);
	});
});

describe('isRepeatable', () => {
	const service = {nonRepeatable: ['POST /refunds', 'PUT /holds']};

	for (const path of ['/refunds', '/refunds/', '//refunds', '/Refunds', '/refunds?x=1', '/%72efunds', '/refunds/7', '/./refunds', '/x/../refunds']) {
		it(`does not repeat POST ${path}`, () => {
			expect(isRepeatable(service, 'POST', path)).to.equal(false);
		});
	}

	for (const [method, path] of [['GET', '/refunds'], ['POST', '/refundsx'], ['POST', '/holds'], ['POST', '/']] as const) {
		it(`repeats ${method} ${path}`, () => {
			expect(isRepeatable(service, method, path)).to.equal(true);
		});
	}
});
