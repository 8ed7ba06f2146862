import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	createAnswerText, cutAnswerBody, cutFraming, CutServer, requestIdPlaceholder,
} from '../../../standins/cutserver.js';
import type {CutFraming} from '../../../standins/cutserver.js';
import {HttpService} from '../index.js';

// Guards against an answer that its service stops anywhere, also within the head, being taken for whole, or its call for not run.
describe('HttpService, with an answer that stops before its end', () => {
	const callId = 'c1';
	const fields = `X-Request-Id: ${requestIdPlaceholder}\r\n`;
	let server: CutServer;
	before(async () => {
		server = new CutServer('x-request-id');
		await server.start();
	});
	after(() => {
		server.stop();
	});

	/** Makes a call; returns the body if the answer counts as whole, or the name of the error. */
	const call = async () => {
		const service = new HttpService(server.address);
		try {
			const {body} = await service.call({
				id: callId, method: 'POST', path: '/', headers: {}, body: new Uint8Array(0), isRepeatable: false,
			}, new AbortController().signal);
			const chunks: Uint8Array[] = [];
			for await (const chunk of body as AsyncIterable<Uint8Array>) {
				chunks.push(chunk);
			}

			return `whole: ${Buffer.concat(chunks).toString()}`;
		} catch (error) {
			return (error as Error).name;
		} finally {
			await service.close();
		}
	};

	const checkEachCut = async (framing: CutFraming, isReset: boolean) => {
		for (const options of [{}, {isFramingFirst: false}, {version: '1.0'}, {informational: 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n'}]) {
			server.text = createAnswerText(framing, fields, options).replaceAll(requestIdPlaceholder, callId);
			server.isReset = isReset;
			const length = framing === cutFraming.connectionEnd ? server.text.indexOf('\r\n\r\n', options.informational?.length) + 4 : server.text.length;
			for (server.sentBytes = 1; server.sentBytes < length; server.sentBytes++) {
				const result = await call();
				expect(result, server.text.slice(0, server.sentBytes)).to.not.match(/^whole/v);
				expect(result, server.text.slice(0, server.sentBytes)).to.not.equal('NotRunError');
			}
		}
	};

	const checkWhole = async (framing: CutFraming) => {
		server.text = createAnswerText(framing, fields);
		server.isReset = false;
		server.sentBytes = Number.POSITIVE_INFINITY;
		expect(await call()).to.equal(`whole: ${cutAnswerBody}`);
	};

	for (const [name, framing] of Object.entries(cutFraming)) {
		for (const isReset of [false, true]) {
			it(`fails, with its end marked by "${name}", ${isReset ? 'reset' : 'closed'} after each byte`, async () => checkEachCut(framing, isReset));
		}

		it(`is whole when it doesn't stop, with its end marked by "${name}"`, async () => checkWhole(framing));
	}
});
