import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {Link, linkState} from '../link.js';

const waitMs = 30;

describe('a link', () => {
	let server: Server;
	let link: Link;
	let received: string;
	const sockets: Socket[] = [];

	beforeEach(async () => {
		received = '';
		server = createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				received += data.toString();
				socket.write(`got ${data.toString()}`);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		link = new Link(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		await link.start();
	});

	afterEach(async () => {
		await link.close();
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.close();
	});

	const open = () => {
		const [host, port] = link.address.split(':');
		const socket = connect({host, port: Number(port)});
		sockets.push(socket);
		const seen = {socket, text: '', isClosed: false};
		socket.on('data', data => {
			seen.text += data.toString();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			seen.isClosed = true;
		});
		return seen;
	};

	const linkStateCases = [
		{
			state: linkState.open, received: 'a', text: 'got a', isClosed: false,
		},
		{
			state: linkState.cut, received: '', text: '', isClosed: true,
		},
		{
			state: linkState.silent, received: '', text: '', isClosed: false,
		},
		{
			state: linkState.silentToTarget, received: '', text: '', isClosed: false,
		},
		{
			state: linkState.silentFromTarget, received: 'a', text: '', isClosed: false,
		},
	];
	const expectLinkState = async (linkStateCase: (typeof linkStateCases)[number]) => {
		const before = open();
		await sleep(waitMs);
		link.state = linkStateCase.state;
		const after = open();
		before.socket.write('a');
		await sleep(waitMs);
		expect(before).to.include({text: linkStateCase.text, isClosed: linkStateCase.isClosed});
		expect(received).to.equal(linkStateCase.received);
		after.socket.write('a');
		await sleep(waitMs);
		expect(after).to.include({text: linkStateCase.text, isClosed: linkStateCase.isClosed});
	};

	for (const row of linkStateCases) {
		it(`that is ${row.state} treats open and new connections alike`, async () => expectLinkState(row));
	}

	it('that forgot its open connections serves new ones', async () => {
		const before = open();
		await sleep(waitMs);
		link.forgetConnections();
		const after = open();
		before.socket.write('a');
		after.socket.write('b');
		await sleep(waitMs);
		expect(before).to.include({text: '', isClosed: false});
		expect(after.text).to.equal('got b');
	});

	it('keeps the order of bytes when a delay ends', async () => {
		const {socket} = open();
		await sleep(waitMs);
		let sent = '';
		for (let round = 0; round < 20; round++) {
			link.delayMs = 20;
			for (const letter of 'abcdef') {
				socket.write(letter);
				sent += letter;
				await sleep(2);
				link.delayMs = letter === 'c' ? 0 : link.delayMs;
			}
		}

		await sleep(waitMs * 2);
		expect(received).to.equal(sent);
	});
});
