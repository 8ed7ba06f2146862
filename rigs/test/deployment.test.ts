import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {engineEvent} from '../../standins/engine/index.js';
import type {StreamFaults} from '../../standins/engine/index.js';
import {sendControl} from '../calls.js';
import {RunningDeployment} from '../deployment.js';
import {
	collectRows, isRefusal, listFaults, runChats,
} from '../load.js';
import {waitForServing} from '../rig.js';
import {createChat, createClient} from '../wire.js';

const chatCount = 2000;
const faultyCount = 600;
const crashAfterMs = 500;
const cleanBetween = 15;
const callers = 40;
const faultsShown = 5;

describe('a whole deployment of real processes', function () {
	this.timeout(60_000);
	let deployment: RunningDeployment;

	before(async () => {
		deployment = new RunningDeployment({text: readFileSync('examples/umuhora.toml', 'utf8'), timeScale: 0.02});
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
		inFlight: 60,
		createCall: index => ({
			prompt: `${name} ${index} `.padEnd(index % 10 === 0 ? 12_000 : 400, 'clause '),
			maxTokens: index % 10 === 0 ? 10 : 20 + (index % 30),
			caller: `cafe-${index % callers}`,
		}),
	});

	it('gives each of thousands of mixed chats its own whole answer, as the engines wrote it', async () => {
		const results = await runMixed(chatCount, 'contract');
		const rows = await collectRows(deployment);
		expect(listFaults(results, rows).slice(0, faultsShown)).to.deep.equal([]);
		expect(results.filter(result => isRefusal(result))).to.deep.equal([]);
		expect(new Set(results.map(({id}) => id)).size).to.equal(chatCount);
		expect(rows.filter(row => row.event === engineEvent.requestCut)).to.deep.equal([]);
	});

	it('does so as well when answers break off, cross, come twice, and engines crash', async () => {
		// Clean answers in between, so that no request meets more faults than it has attempts.
		const clean: readonly StreamFaults[] = Array.from({length: cleanBetween}, () => ({}));
		const faults = [{breakAfter: 3}, {foreignAfter: 2}, {repeatAfter: 4}, {breakAfter: 0}].flatMap(fault => [fault, ...clean]);
		const engines = deployment.upstreams.filter(({upstream}) => upstream.pieces > 0);
		for (const {origin} of engines) {
			await sendControl(origin, {streams: faults});
		}

		const crashed = engines[0]!;
		const running = runMixed(faultyCount, 'ledger');
		await sleep(crashAfterMs);
		await sendControl(crashed.origin, {crash: true});
		const results = await running;
		const rows = await collectRows(deployment);
		expect(rows.filter(row => row.event === engineEvent.crashed)).to.have.length(1);
		expect(listFaults(results, rows).slice(0, faultsShown)).to.deep.equal([]);
		expect(results.filter(result => isRefusal(result)).length).to.be.lessThan(faultyCount / 20);
	});
});
