import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

/** Finds free ports of loopback, as `host:port`; all are held until the last is found, so that they differ. */
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
