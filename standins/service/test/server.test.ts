import {expect} from 'chai';
import {request as sendRequest} from 'undici';
import {SystemTimers} from '../../../src/timers/index.js';
import type {ListeningServer} from '../../http.js';
import {ServiceServer} from '../index.js';

describe('a plain service', () => {
	let service: ServiceServer;
	let listening: ListeningServer;

	beforeEach(async () => {
		service = new ServiceServer(new SystemTimers());
		listening = await service.start('127.0.0.1:0');
	});

	afterEach(async () => {
		await listening.close();
	});

	const sendRefund = async (id: string) => sendRequest(`http://${listening.address}/refunds`, {
		method: 'POST', headers: {'x-request-id': id}, body: '{"amount":5}',
	});

	it('answers with the request\'s id and records each run in the journal', async () => {
		const answer = await sendRefund('r1');
		expect(answer.headers['x-request-id']).to.equal('r1');
		expect(await answer.body.json()).to.include({path: '/refunds', ran: 'r1'});
		expect(service.journal.list().map(row => [row.event, row.id])).to.deep.equal([['run', 'r1']]);
	});

	it('runs a call whose answer is lost, and does not run one that it refuses', async () => {
		service.applyControl({loseAnswers: 1});
		let failure: unknown;
		try {
			await sendRefund('r1');
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.instanceOf(Error);
		service.applyControl({refuse: 1});
		const refused = await sendRefund('r2');
		expect(refused.headers['x-not-run']).to.equal('1');
		await refused.body.dump();
		expect(service.journal.list().map(row => [row.event, row.id])).to.deep.equal([['run', 'r1'], ['refused', 'r2']]);
	});
});
