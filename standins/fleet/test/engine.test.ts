import http from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {FleetEngine} from '../index.js';

const silenceMs = 200;

describe('a stand-in engine that falls silent', () => {
	let engine: FleetEngine;

	beforeEach(async () => {
		engine = new FleetEngine({id: 'e1', service: 'app'});
		await engine.start();
	});

	afterEach(async () => {
		await engine.stop();
	});

	const sendRequest = (id: string) => http.request(`http://${engine.address}/lookup/1`, {method: 'POST', headers: {'Crocusworks-Request-Id': id, 'Crocusworks-Expect-Instance': 'e1'}}).end('body');

	it('takes up a request when the silence is over, and answers it on the same connection', async () => {
		engine.startSilence(silenceMs);
		const [response] = await once(sendRequest('r1'), 'response') as [http.IncomingMessage];
		response.resume();
		await once(response, 'end');
		const [arrival] = engine.arrivals;
		expect(response.statusCode).to.equal(200);
		expect(arrival!.at - arrival!.reachedAt).to.be.within(silenceMs / 2, silenceMs * 2);
		expect([arrival!.isHeadSent, arrival!.isCut, arrival!.hasRun]).to.deep.equal([true, false, true]);
	});

	it('runs a request whose connection was closed meanwhile, and tells nobody anything', async () => {
		engine.startSilence(silenceMs);
		const request = sendRequest('r1');
		request.on('error', () => {
			// Its connection is closed on purpose.
		});
		await sleep(silenceMs / 2);
		request.destroy();
		await sleep(silenceMs);
		const [arrival] = engine.arrivals;
		expect([arrival!.isHeadSent, arrival!.isCut, arrival!.hasRun]).to.deep.equal([false, true, true]);
		// It works for nobody, so it does not count as at work until the engine ends.
		expect(arrival!.endedAt).to.be.below(performance.now());
	});
});
