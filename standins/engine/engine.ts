import {createHash} from 'node:crypto';
import polka from 'polka';
import type {GenerateRequest} from '../../src/upstreams/index.js';
import {enginePath} from '../../src/upstreams/index.js';
import {readJson, sendJson} from '../http.js';

const tokenPeriodMs = 5;

/** Starts the stand-in of a model engine; thin: one token after another at a fixed period. */
export async function startEngine(address: string): Promise<void> {
	const journal: unknown[] = [];
	const app = polka();
	app.post(enginePath.generate, async (request, response) => {
		const work = await readJson(request) as GenerateRequest;
		journal.push({event: 'started', id: work.id, offset: work.offset});
		response.writeHead(200, {'content-type': 'text/event-stream'});
		const size = countTokens(work);
		let {offset} = work;
		const timer = setInterval(() => {
			const isEnd = offset >= size;
			const event = isEnd
				? {
					kind: 'end', id: work.id, offset, finishReason: 'stop', promptTokens: work.promptTokens,
				}
				: {
					kind: 'token', id: work.id, offset, text: createToken(work.prompt, offset),
				};
			response.write(`id: ${offset}\ndata: ${JSON.stringify(event)}\n\n`);
			if (isEnd) {
				clearInterval(timer);
				response.end();
				journal.push({event: 'ended', id: work.id, offset});
			}

			offset++;
		}, tokenPeriodMs);
		response.on('close', () => {
			clearInterval(timer);
		});
	});
	app.get('/journal', (_request, response) => {
		sendJson(response, 200, {journal});
	});
	const [host, port] = address.split(':');
	await new Promise<void>(resolve => {
		app.listen(Number(port), host, resolve);
	});
}

function countTokens(work: GenerateRequest): number {
	const digest = createHash('sha256').update(work.prompt).digest();
	return 1 + (digest.readUInt16BE(0) % work.maxTokens);
}

function createToken(prompt: string, offset: number): string {
	return ` ${createHash('sha256').update(`${offset}:${prompt}`).digest('hex').slice(0, 4)}`;
}
