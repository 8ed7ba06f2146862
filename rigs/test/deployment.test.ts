import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {engineEvent} from '../../standins/engine/index.js';
import type {StreamFaults} from '../../standins/engine/index.js';
import {
	hashBody, readServiceJournal, sendControl, sendServiceCall,
} from '../calls.js';
import {RunningDeployment} from '../deployment.js';
import {
	collectEngineRows, isRefusal, listWrongResults, runChats,
} from '../load.js';
import {waitForServing} from '../processgroup.js';
import {createChat, createClient} from '../wire.js';

const chatCount = 2000;
const faultyChatCount = 600;
const crashAfterMs = 500;
const cleanAnswersBetween = 15;
const refundCount = 100;
/** Offset in the list of entries that always leads to another domain: the list has two entries of each domain in turn. */
const otherDomainOffset = 3;
const callerCount = 40;
const maxShownResults = 5;

describe('a whole deployment of real processes', function () {
	this.timeout(60_000);
	let deployment: RunningDeployment;

	before(async () => {
		deployment = new RunningDeployment({configurationText: readFileSync('examples/umuhora.toml', 'utf8'), timeScale: 0.02});
		await deployment.start();
		for (const {origin} of deployment.entries) {
			await waitForServing(async () => createClient(origin, 'warm').chat.completions.create(createChat('contracts', 'ready?', 4)));
		}
	});

	after(async () => {
		await deployment.close();
	});

	const runMixed = async (count: number, name: string) => runChats(deployment.entries.map(({origin}) => origin), {
		model: 'contracts',
		count,
		concurrency: 60,
		createRequest: index => ({
			prompt: `${name} ${index} `.padEnd(index % 10 === 0 ? 12_000 : 400, 'clause '),
			maxTokens: index % 10 === 0 ? 10 : 20 + (index % 30),
			caller: `cafe-${index % callerCount}`,
		}),
	});

	it('gives each of thousands of mixed chats its own whole answer, as the engines wrote it', async () => {
		const results = await runMixed(chatCount, 'contract');
		const rows = await collectEngineRows(deployment);
		expect(listWrongResults(results, rows).slice(0, maxShownResults)).to.deep.equal([]);
		expect(results.filter(result => isRefusal(result))).to.deep.equal([]);
		expect(new Set(results.map(({id}) => id)).size).to.equal(chatCount);
		expect(rows.filter(row => row.event === engineEvent.requestCut)).to.deep.equal([]);
	});

	it('runs each refund once and repeats its answer when the same key is sent again to other entries', async () => {
		const origins = deployment.entries.map(({origin}) => origin);
		const runRefund = async (index: number) => {
			const body = {wallet: index, amount: 500};
			const answers = [];
			for (const offset of [0, 1, otherDomainOffset]) {
				const origin = origins[(index + offset) % origins.length]!;
				answers.push(await sendServiceCall(origin, 'refunds/refunds', body, `refund-${index}`));
			}

			return {hash: hashBody(body), answers};
		};

		const callSchedule = async (index: number) => sendServiceCall(origins[index % origins.length]!, `refunds/schedules/${index}`);
		const indexes = Array.from({length: refundCount}, (_item, index) => index);
		const [refunds, lookups] = await Promise.all([Promise.all(indexes.map(async index => runRefund(index))), Promise.all(indexes.map(async index => callSchedule(index)))]);
		const services = deployment.upstreams.filter(({upstream}) => upstream.service === 'refunds');
		const journals = await Promise.all(services.map(async ({origin}) => readServiceJournal(origin)));
		const rows = journals.flat();
		for (const {hash, answers} of refunds) {
			expect(answers.map(({status}) => status)).to.deep.equal([200, 200, 200]);
			expect(new Set(answers.map(({body}) => body)).size).to.equal(1);
			expect(rows.filter(row => row.body === hash)).to.have.length(1);
		}

		expect(lookups.map(({status}) => status)).to.deep.equal(indexes.map(() => 200));
		for (const [index, {body}] of lookups.entries()) {
			expect(JSON.parse(body)).to.include({path: `/schedules/${index}`});
		}
	});

	it('gives complete right answers, and few refusals, also when answers break off, get mixed up or are repeated, and an engine crashes', async () => {
		// Answers without a fault in between keep a request from meeting more faults than it has attempts.
		const clean: readonly StreamFaults[] = Array.from({length: cleanAnswersBetween}, () => ({}));
		const faults = [{breakAfter: 3}, {foreignAfter: 2}, {repeatAfter: 4}, {breakAfter: 0}].flatMap(fault => [fault, ...clean]);
		const engines = deployment.upstreams.filter(({upstream}) => upstream.pieces > 0);
		for (const {origin} of engines) {
			await sendControl(origin, {streams: faults});
		}

		const crashed = engines[0]!;
		const running = runMixed(faultyChatCount, 'ledger');
		await sleep(crashAfterMs);
		await sendControl(crashed.origin, {crash: true});
		const results = await running;
		const rows = await collectEngineRows(deployment);
		expect(rows.filter(row => row.event === engineEvent.crashed)).to.have.length(1);
		expect(listWrongResults(results, rows).slice(0, maxShownResults)).to.deep.equal([]);
		expect(results.filter(result => isRefusal(result)).length).to.be.lessThan(faultyChatCount / 20);
	});
});
