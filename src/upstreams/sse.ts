import {BrokenAnswerError} from '../errors/index.js';

const eventEnd = '\n\n';
const dataPrefix = 'data: ';

/** Longest event that is accepted. */
const maxEventCharacters = 1_000_000;

/**
Generates the data of each server-sent event of a body. An event that is cut off at the end of the body is dropped.
Throws `BrokenAnswerError` if an event is too long.
*/
export async function * readServerEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let buffer = '';
	for await (const chunk of body) {
		buffer += decoder.decode(chunk, {stream: true});
		const events = buffer.split(eventEnd);
		buffer = events.pop() ?? '';
		if (buffer.length > maxEventCharacters) {
			throw new BrokenAnswerError(`an event may have ${maxEventCharacters} characters`);
		}

		for (const event of events) {
			const data = event.split('\n').find(line => line.startsWith(dataPrefix));
			if (data !== undefined) {
				yield data.slice(dataPrefix.length);
			}
		}
	}
}
