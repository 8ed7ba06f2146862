import {expect} from 'chai';
import {DirectNetwork} from '../../peers/test/direct.js';
import {ManualTimers} from '../../timers/index.js';
import {chooseHub, LoadExchange} from '../index.js';

const hubAddress = 'hub:1';
const load = {running: 3, waiting: 1, slowdown: 2.5};

describe('LoadExchange', () => {
	let timers: ManualTimers;
	let network: DirectNetwork;
	let received: string[];
	let links: number;
	beforeEach(() => {
		timers = new ManualTimers();
		network = new DirectNetwork();
		received = [];
		links = 0;
	});

	const createExchange = (localAddress: string) => new LoadExchange({
		timers, network, getHub: () => hubAddress, localAddress,
		onReport(engineId, {running, waiting, slowdown}, at) {
			received.push(`${localAddress} ${engineId} ${running} ${waiting} ${slowdown} ${at}`);
		},
	});

	it('passes each engine\'s latest report on to the others with its age, and none back', async () => {
		const hub = createExchange(hubAddress);
		await network.serve(hubAddress, link => hub.serve(link));
		const [first, second] = [createExchange('a:1'), createExchange('b:1')];
		second.publish('e2', load);
		await timers.advance(200);
		received = [];
		first.publish('e1', {...load, running: 5});
		await timers.advance(20);
		first.publish('e1', load);
		await timers.advance(200);
		expect(received).to.deep.equal(['hub:1 e1 3 1 2.5 220', 'b:1 e1 3 1 2.5 220']);
		received = [];
		hub.publish('e3', load);
		await timers.advance(200);
		expect(received).to.have.members(['a:1 e3 3 1 2.5 420', 'b:1 e3 3 1 2.5 420']);
	});

	it('leaves a hub that does not answer alone for a time: its connection may be half-open, or its version older', async () => {
		await network.serve(hubAddress, () => {
			links++;
			return {
				onMessage() {
					// An entry of an older version ignores the message.
				},
				onClose() {
					// Nothing to release.
				},
			};
		});
		const exchange = createExchange('a:1');
		for (let index = 0; index < 50; index++) {
			exchange.publish('e1', load);
			await timers.advance(100);
		}

		expect(links).to.equal(1);
		for (let index = 0; index < 50; index++) {
			exchange.publish('e1', load);
			await timers.advance(100);
		}

		expect(links).to.equal(2);
	});
});

describe('chooseHub', () => {
	const createCandidate = (vm: string, domain: string, cores: number) => ({
		vm, address: `${vm}:1`, domain, cores,
	});

	it('makes the same choice for all, of entries with enough cores, and none where an entry is alone', () => {
		const candidates = [createCandidate('v1', 'd1', 0.25), createCandidate('v2', 'd1', 0.5), createCandidate('v3', 'd2', 2)];
		expect(chooseHub('d1', candidates)).to.equal('v2:1');
		expect(chooseHub('d1', candidates.toReversed())).to.equal('v2:1');
		expect(chooseHub('d2', candidates)).to.equal(undefined);
		expect(chooseHub('d1', [createCandidate('v1', 'd1', 0.25), createCandidate('v4', 'd1', 0.25)])).to.be.oneOf(['v1:1', 'v4:1']);
	});
});
