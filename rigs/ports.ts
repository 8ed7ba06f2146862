import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

/** Finds different free ports on loopback, as `host:port`; each stays open until all are found, so that none is found twice. */
export async function findFreeAddresses(count: number): Promise<string[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => openServer()));
	const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	await Promise.all(servers.map(async server => {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}));
	return addresses;
}

async function openServer(): Promise<Server> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}
