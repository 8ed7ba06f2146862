import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import process from 'node:process';

/** Loopback address that belongs to this process alone: on one that several share, another process could take a port between its choice and its use. */
export const ownHost = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}.254`;

/** Addresses that were handed out; their programs may not listen yet. */
const taken = new Set<string>();

/** Finds different free ports on the loopback address of this process, as `host:port`; none is handed out twice. */
export async function findFreeAddresses(count: number): Promise<string[]> {
	const servers: Server[] = [];
	const addresses: string[] = [];
	while (addresses.length < count) {
		const server = await openServer();
		servers.push(server);
		const address = `${ownHost}:${(server.address() as AddressInfo).port}`;
		if (!taken.has(address)) {
			taken.add(address);
			addresses.push(address);
		}
	}

	await Promise.all(servers.map(async server => {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}));
	return addresses;
}

async function openServer(): Promise<Server> {
	const server = createServer();
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ownHost, resolve);
	});
	return server;
}
