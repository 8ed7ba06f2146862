import {expect} from 'chai';
import {request as sendRequest} from 'undici';
import {SystemTimers} from '../../../src/timers/index.js';
import type {Listening} from '../../http.js';
import {ServiceShell} from '../index.js';

describe('a plain service', () => {
	let shell: ServiceShell;
	let listening: Listening;

	beforeEach(async () => {
		shell = new ServiceShell(new SystemTimers());
		listening = await shell.start('127.0.0.1:0');
	});

	afterEach(async () => {
		await listening.close();
	});

	const sendRefund = async (id: string) => sendRequest(`http://${listening.address}/refunds`, {
		method: 'POST', headers: {'x-request-id': id}, body: '{"amount":5}',
	});

	it('answers with the request\'s id and journals each run', async () => {
		const answer = await sendRefund('r1');
		expect(answer.headers['x-request-id']).to.equal('r1');
		expect(await answer.body.json()).to.include({path: '/refunds', ran: 'r1'});
		expect(shell.journal.list().map(row => [row.event, row.id])).to.deep.equal([['run', 'r1']]);
	});

	it('runs a call whose answer it loses, and does not run one that it refuses', async () => {
		shell.applyControl({loseAnswers: 1});
		let failure: unknown;
		try {
			await sendRefund('r1');
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.instanceOf(Error);
		shell.applyControl({refuse: 1});
		const refused = await sendRefund('r2');
		expect(refused.headers['x-not-run']).to.equal('1');
		await refused.body.dump();
		expect(shell.journal.list().map(row => [row.event, row.id])).to.deep.equal([['run', 'r1'], ['refused', 'r2']]);
	});
});
