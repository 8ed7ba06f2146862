import {expect} from 'chai';
import {request as sendRequest} from 'undici';
import type {ServiceServer} from '../../../standins/service/index.js';
import {EntryRig} from './rig.js';
import type {RigEntry} from './rig.js';

async function sendRefund(entry: RigEntry, key?: string, body = '{"amount":5}') {
	const answer = await sendRequest(`http://${entry.address}/services/refunds/refunds?x=1`, {
		method: 'POST', headers: {authorization: 'Bearer clerk-3', ...(key === undefined ? {} : {'idempotency-key': key})}, body,
	});
	return {status: answer.statusCode, headers: answer.headers, body: await answer.body.json() as {ran?: string; error?: {ran: string; code: string}}};
}

class CallSetup {
	rig!: EntryRig;
	first!: RigEntry;
	second!: RigEntry;
	service!: ServiceServer;
}

describe('/services', () => {
	const setup = new CallSetup();

	const countRuns = () => setup.service.journal.list().filter(row => row.event === 'run').length;

	beforeEach(async () => {
		const rig = new EntryRig();
		setup.rig = rig;
		setup.service = await rig.startService('s1', 'd1');
		setup.first = await rig.startEntry('vm-1', 'd1');
		setup.second = await rig.startEntry('vm-2', 'd2');
		setup.second.router.onlyUpstream = rig.getUpstream('s1');
		rig.publishMembers();
	});

	afterEach(async () => {
		await setup.rig.close();
	});

	it('repeats the answer of a keyed call through an entry of another domain without a second run, and refuses the key with another body', async () => {
		const firstAnswer = await sendRefund(setup.first, 'k1');
		const secondAnswer = await sendRefund(setup.second, 'k1');
		expect(firstAnswer.status).to.equal(200);
		expect(secondAnswer.body).to.deep.equal(firstAnswer.body);
		expect(countRuns()).to.equal(1);
		const conflict = await sendRefund(setup.second, 'k1', '{"amount":6}');
		expect([conflict.status, conflict.body.error?.code, conflict.body.error?.ran]).to.deep.equal([409, 'key_conflict', 'no']);
	});

	it('calls an instance of another failure domain through an entry there', async () => {
		const answer = await sendRefund(setup.second, 'k1');
		expect(answer.status).to.equal(200);
		expect(countRuns()).to.equal(1);
		expect(setup.second.router.countInFlight('s1') + setup.first.router.countInFlight('s1')).to.equal(0);
	});

	it('doesn\'t use a pooled connection that has gone silent', async () => {
		await sendRefund(setup.first);
		setup.service.applyControl({silence: true});
		const answer = await sendRefund(setup.first);
		expect(answer.status).to.equal(200);
		expect(countRuns()).to.equal(2);
	});

	for (const [name, control] of Object.entries({'a lost answer': {loseAnswers: 1}, 'a truncated answer': {cutAnswers: 1}, 'an answer to another request': {foreign: 1}})) {
		for (const isRelayed of [false, true]) {
			it(`reports an unknown outcome after ${name}${isRelayed ? ' through a relay' : ''}, and never runs the call again`, async () => {
				setup.service.applyControl(control);
				const answer = await sendRefund(isRelayed ? setup.second : setup.first, 'k1');
				expect([answer.status, answer.body.error?.ran]).to.deep.equal([502, 'unknown']);
				expect(countRuns()).to.equal(1);
				const secondAnswer = await sendRefund(setup.first, 'k1');
				expect([secondAnswer.status, secondAnswer.body.error?.ran]).to.deep.equal([502, 'unknown']);
				expect(countRuns()).to.equal(1);
			});
		}
	}

	it('reports a call as not run when the service refuses it, also through a relay', async () => {
		setup.service.applyControl({refuse: 8});
		for (const entry of [setup.first, setup.second]) {
			const answer = await sendRefund(entry);
			expect([answer.status, answer.body.error?.ran]).to.deep.equal([503, 'no']);
		}

		expect(countRuns()).to.equal(0);
	});

	it('refuses a keyed call at once, as not run, while the store is down', async () => {
		setup.first.store.isDown = true;
		const answer = await sendRefund(setup.first, 'k1');
		expect([answer.status, answer.body.error?.code, answer.body.error?.ran]).to.deep.equal([503, 'store_down', 'no']);
		expect(countRuns()).to.equal(0);
	});

	for (const path of ['/services', '/services/%', '/services/unknown/x']) {
		it(`refuses ${path} as not run`, async () => {
			const answer = await sendRequest(`http://${setup.first.address}${path}`, {method: 'POST'});
			const {error} = await answer.body.json() as {error: {ran: string}};
			expect([answer.statusCode, error.ran]).to.deep.equal([404, 'no']);
		});
	}

	it('retries a repeatable call whose answer is lost', async () => {
		setup.service.applyControl({loseAnswers: 1});
		const other = await setup.rig.startService('s2', 'd1');
		const answer = await sendRequest(`http://${setup.first.address}/services/refunds/schedules/3`);
		expect(answer.statusCode).to.equal(200);
		await answer.body.dump();
		expect(countRuns() + other.journal.list().length).to.equal(2);
	});
});
