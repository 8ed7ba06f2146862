import {expect} from 'chai';
import {
	engineOutcome, engineStage, Fleet, isPausedUntil,
} from '../index.js';
import type {EngineRecord} from '../index.js';

const record: EngineRecord = {
	id: 'e1', address: '10.0.0.1:80', service: 'app', stage: engineStage.any, slots: 4, isLeaving: false, startedAt: 1, sequence: 5,
};

describe('Fleet', () => {
	let fleet: Fleet;
	beforeEach(() => {
		fleet = new Fleet();
		fleet.onRegistration(record);
	});

	const isServing = () => fleet.findServing('e1') !== undefined;

	it('ignores an earlier registration of an engine that has begun to leave', () => {
		fleet.onRegistration({...record, sequence: 7, isLeaving: true});
		expect(fleet.onRegistration({...record, sequence: 6})).to.equal(false);
		expect(isServing()).to.equal(false);
		fleet.onRegistration({...record, sequence: 8});
		expect(isServing()).to.equal(true);
	});

	it('does not bring back a removed engine by the registration that was known, but by a later one', () => {
		fleet.remove('e1');
		fleet.onRegistration(record);
		expect(isServing()).to.equal(false);
		fleet.onRegistration({...record, sequence: 6});
		expect(isServing()).to.equal(true);
	});

	it('gives each suspect engine one trial request when all may be reached again', () => {
		const {health} = fleet.findServing('e1')!;
		health.onOutcome(engineOutcome.unreachable, 1000);
		expect(health.isAvailable(1100)).to.equal(false);
		fleet.resumeAll(1100);
		expect(health.isAvailable(1100)).to.equal(true);
		health.onSend();
		expect(health.isAvailable(1101)).to.equal(false);
		health.onOutcome(engineOutcome.answered, 1102);
		expect(health.isSuspect).to.equal(false);
	});

	it('takes another incarnation and registrations without a sequence', () => {
		fleet.remove('e1');
		fleet.onRegistration({...record, startedAt: 2, sequence: 1});
		expect(isServing()).to.equal(true);
		fleet.remove('e1');
		fleet.onRegistration({...record, startedAt: 2, sequence: undefined});
		expect(isServing()).to.equal(true);
	});

	it('keeps an engine that said that it leaves out until another incarnation registers', () => {
		fleet.findServing('e1')!.onLeaving();
		fleet.onRegistration({...record, sequence: 9});
		expect(isServing()).to.equal(false);
		fleet.remove('e1');
		fleet.onRegistration({...record, sequence: 10});
		expect(isServing()).to.equal(false);
		fleet.onRegistration({...record, startedAt: 2, sequence: 1});
		expect(isServing()).to.equal(true);
	});

	it('shares a pause between the registrations at one address, until a later incarnation starts there', () => {
		fleet.onRegistration({...record, id: 'e2', startedAt: 2});
		const isPaused = (id: string) => fleet.findAccepting(id, 100) === undefined;
		fleet.findServing('e2')!.onRetryAfter(2000, 0);
		expect([isPaused('e1'), isPaused('e2')]).to.deep.equal([true, true]);
		fleet.remove('e1');
		fleet.onRegistration({...record, id: 'e0', startedAt: 0});
		expect(isPaused('e0')).to.equal(true);
		fleet.onRegistration({...record, id: 'e3', startedAt: 3});
		expect(isPaused('e3')).to.equal(false);
	});

	it('counts a service as paused only while all its engines hold back until the deadline', () => {
		fleet.onRegistration({...record, id: 'e2', address: '10.0.0.2:80'});
		const views = fleet.listServing('app');
		const isPaused = (now: number, deadlineAt: number) => isPausedUntil(deadlineAt, views, now);
		expect([isPaused(100, 50), isPausedUntil(50, [], 100)]).to.deep.equal([false, false]);
		views[0]!.onRetryAfter(2000, 100);
		expect(isPaused(100, 500)).to.equal(false);
		views[1]!.onRetryAfter(1000, 100);
		expect([isPaused(100, 1100), isPaused(100, 1101)]).to.deep.equal([true, false]);
	});

	it('holds back requests for the longest time that an engine asked for, also over a removal', () => {
		const view = fleet.findServing('e1')!;
		view.onRetryAfter(2000, 100);
		view.onRetryAfter(500, 200);
		expect([view.isAvailable(2099), view.isAvailable(2100)]).to.deep.equal([false, true]);
		fleet.remove('e1');
		fleet.onRegistration({...record, sequence: 6});
		expect(fleet.findServing('e1')!.isAvailable(2099)).to.equal(false);
		expect(fleet.listUnavailable('app', 2099)).to.deep.equal(['e1']);
	});

	/** Checks that registrations of earlier incarnations change nothing, and that one of a later one does. */
	const checkEarlierIgnored = (change: () => void) => {
		fleet.onRegistration({...record, startedAt: 3, sequence: 1});
		change();
		const earlierRecords = [record, {...record, sequence: 99}, {...record, startedAt: 2, sequence: 99}, {...record, address: '10.0.0.9:80'}, {...record, service: 'other'}];
		for (const earlier of earlierRecords) {
			expect([fleet.onRegistration(earlier), isServing()]).to.deep.equal([false, false]);
		}

		expect([fleet.onRegistration({...record, startedAt: 4, sequence: 1}), isServing()]).to.deep.equal([true, true]);
	};

	// Guards against a record of an incarnation that has ended, from a copy of the store or a late write: the engine that drains under the id would get requests.
	it('ignores a registration of an earlier incarnation of an engine that drains', () => {
		checkEarlierIgnored(() => {
			fleet.onRegistration({
				...record, startedAt: 3, sequence: 2, isLeaving: true,
			});
		});
	});

	it('ignores a registration of an earlier incarnation of an engine that has said in an answer that it leaves', () => {
		checkEarlierIgnored(() => {
			fleet.findServing('e1')!.onLeaving();
		});
	});

	it('ignores a registration of an earlier incarnation of an engine that was removed', () => {
		checkEarlierIgnored(() => {
			fleet.remove('e1');
		});
	});

	it('ignores a registration of an earlier incarnation that it never saw', () => {
		const fresh = new Fleet();
		fresh.onRegistration({...record, startedAt: 3, isLeaving: true});
		expect(fresh.onRegistration({...record, startedAt: 2})).to.equal(false);
		expect(fresh.listServing('app')).to.deep.equal([]);
	});
});
