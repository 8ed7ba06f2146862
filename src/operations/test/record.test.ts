import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {OperationRefusedError} from '../../errors/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	requestOperation, listOperations, maxOperations, operationKind, operationRefusal, operationState, reportOperations,
} from '../index.js';
import type {OperationRequest} from '../index.js';

const domain = 'kigali-1';

function createRequest(id: string, subject = 'e1', kind: OperationRequest['kind'] = operationKind.drain, askedAt = 1000): OperationRequest {
	return {
		id, kind, subject, askedAt,
	};
}

async function readError(asked: Promise<unknown>): Promise<Error | undefined> {
	try {
		await asked;
		return undefined;
	} catch (error) {
		return error as Error;
	}
}

async function readRefusal(asked: Promise<unknown>): Promise<string> {
	try {
		await asked;
	} catch (error) {
		if (error instanceof OperationRefusedError) {
			return error.reason;
		}

		throw error;
	}

	return 'not refused';
}

describe('requestOperation', () => {
	let platform: FakePlatform;
	let store: FakeStore;
	beforeEach(() => {
		platform = new FakePlatform(new ManualTimers());
		store = new FakeStore(platform);
	});

	it('stores an operation once when it is requested twice, also after a lost answer', async () => {
		store.lostAnswers = 1;
		await requestOperation(store, domain, createRequest('1'));
		await requestOperation(store, domain, createRequest('1'));
		expect(platform.journal).to.have.length(1);
		expect(await listOperations(store, domain)).to.have.length(1);
	});

	it('accepts one of two operations that race for an upstream, and refuses the other', async () => {
		const outcomes = await Promise.all(['1', '2'].map(async id => readRefusal(requestOperation(new FakeStore(platform), domain, createRequest(id)))));
		expect(outcomes.toSorted()).to.deep.equal([operationRefusal.conflict, 'not refused']);
	});

	it('names the operation that won the race, its kind, subject and state, to the one that lost', async () => {
		await requestOperation(store, domain, createRequest('winner', 'e1'));
		const lost = await readError(requestOperation(store, domain, createRequest('loser', 'e1')));
		expect(lost?.message).to.contain('winner').and.to.contain(operationKind.drain).and.to.contain('e1').and.to.contain(operationState.asked);
	});

	it('refuses a replacement by an upstream that another open operation is on', async () => {
		await requestOperation(store, domain, createRequest('1', 'e2'));
		const request = {...createRequest('2', 'e1', operationKind.replace), replacement: 'e2'};
		expect(await readRefusal(requestOperation(store, domain, request))).to.equal(operationRefusal.conflict);
	});

	it('refuses an id that was used for a different operation', async () => {
		await requestOperation(store, domain, createRequest('1'));
		expect(await readRefusal(requestOperation(store, domain, createRequest('1', 'e2')))).to.equal(operationRefusal.idReused);
	});

	it('ends an open drain as refused when a resume is requested', async () => {
		await requestOperation(store, domain, createRequest('1'));
		await requestOperation(store, domain, createRequest('2', 'e1', operationKind.resume));
		const listed = await listOperations(store, domain);
		const states = listed.map(operation => operation.state);
		expect(states).to.deep.equal([operationState.refused, operationState.asked]);
	});

	it('refuses when full of open operations, drops ended ones, and never accepts a dropped one again', async () => {
		for (let index = 0; index < maxOperations; index++) {
			await requestOperation(store, domain, createRequest(`${index}`, `e${index}`, operationKind.drain, 1000 + index));
		}

		expect(await readRefusal(requestOperation(store, domain, createRequest('more', 'more', operationKind.drain, 5000)))).to.equal(operationRefusal.full);
		await reportOperations(store, domain, new Map([['0', {state: operationState.done, detail: ''}]]));
		expect(await readRefusal(requestOperation(store, domain, createRequest('more', 'more', operationKind.drain, 5000)))).to.equal('not refused');
		expect(await listOperations(store, domain)).to.have.length(maxOperations);
		expect(await readRefusal(requestOperation(store, domain, createRequest('0', 'e0', operationKind.drain, 1000)))).to.equal(operationRefusal.tooOld);
	});

	it('keeps the state of an operation that has ended', async () => {
		await requestOperation(store, domain, createRequest('1'));
		await reportOperations(store, domain, new Map([['1', {state: operationState.done, detail: 'drained'}]]));
		await reportOperations(store, domain, new Map([['1', {state: operationState.waiting, detail: 'late'}]]));
		const [operation] = await listOperations(store, domain);
		expect(operation?.state).to.equal(operationState.done);
	});
});
