import {Buffer} from 'node:buffer';
import {BrokenAnswerError} from '../errors/index.js';
import type {ServiceAnswer} from '../upstreams/index.js';

/** Largest answer of a service, in bytes. An answer is buffered until it is complete. */
const maxAnswerBytes = 16_000_000;

/** An answer of a service, read to its end. */
export type WholeAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Reads an answer to its end. Throws `BrokenAnswerError` when it breaks off or is too large to buffer. */
export async function readWholeAnswer(pendingAnswer: Promise<ServiceAnswer>): Promise<WholeAnswer> {
	const {status, headers, body} = await pendingAnswer;
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			sizeBytes += chunk.length;
			if (sizeBytes > maxAnswerBytes) {
				break;
			}

			chunks.push(chunk);
		}
	} catch (error) {
		throw new BrokenAnswerError('the answer broke off', {cause: error});
	}

	if (sizeBytes > maxAnswerBytes) {
		throw new BrokenAnswerError(`the answer has more than ${maxAnswerBytes} bytes`);
	}

	return {status, headers, body: Buffer.concat(chunks)};
}
