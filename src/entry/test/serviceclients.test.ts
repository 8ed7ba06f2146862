import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {Upstream} from '../../deployment/index.js';
import {FactTable} from '../../feed/index.js';
import type {ServiceCall} from '../../upstreams/index.js';
import type {EntryDependencies} from '../dependencies.js';
import {ServiceClients} from '../serviceclients.js';

const maxClients = 256;
const call: ServiceCall = {
	id: 'c1', method: 'GET', path: '/ledgers/1', headers: {}, body: new Uint8Array(0), isRepeatable: true,
};

function createUpstream(id: string, address: string): Upstream {
	return {
		id, service: 'refunds', domain: 'd1', address, fenced: false, pieces: 0,
	};
}

describe('ServiceClients', () => {
	it('ends no call in progress when a deployment has more instances than clients are kept', async () => {
		const server = createServer(async (request, response) => {
			await sleep(200);
			response.writeHead(200, {'x-request-id': request.headers['x-request-id']});
			response.end('whole');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const clients = new ServiceClients({settings: {domain: 'd1'}, facts: new FactTable()} as unknown as EntryDependencies, () => 0);
		const pending = clients.get(createUpstream('s0', `127.0.0.1:${(server.address() as AddressInfo).port}`)).call(call, new AbortController().signal);
		await sleep(50);
		for (let index = 1; index <= maxClients; index++) {
			clients.get(createUpstream(`s${index}`, `127.0.0.1:${index}`));
		}

		const {body} = await pending;
		let text = '';
		for await (const chunk of body) {
			text += String(chunk);
		}

		expect(text).to.equal('whole');
		server.closeAllConnections();
		server.close();
	});
});
