import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {SystemTimers} from '../index.js';

/** Keeps the event loop busy. */
function runBusyLoop(durationMs: number): void {
	const endsAt = performance.now() + durationMs;
	while (performance.now() < endsAt) {
		// No other callback runs meanwhile.
	}
}

describe('a timeout', () => {
	const timers = new SystemTimers();

	it('of a process that was held up does not run while data that arrived in time waits to be read', async () => {
		const server = net.createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		const [peer] = await once(server, 'connection') as [Socket];
		const events: string[] = [];
		const timeout = timers.startTimeout(50, () => {
			events.push('timeout');
		});
		socket.once('data', () => {
			events.push('data');
			timeout.cancel();
		});
		peer.write('answer');
		runBusyLoop(200);
		await sleep(50);
		expect(events).to.deep.equal(['data']);
		socket.destroy();
		peer.destroy();
		server.close();
	});

	it('runs once when no data came, and not when it was cancelled', async () => {
		let count = 0;
		timers.startTimeout(5, () => {
			count++;
		});
		timers.startTimeout(5, () => {
			count++;
		}).cancel();
		await sleep(60);
		expect(count).to.equal(1);
	});
});
