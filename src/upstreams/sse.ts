const eventEnd = '\n\n';
const dataPrefix = 'data: ';

/** Reads the data of each server-sent event of a body; an event that is cut off at the end is dropped. */
export async function * readServerEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		const events = text.split(eventEnd);
		text = events.pop() ?? '';
		for (const event of events) {
			const data = event.split('\n').find(line => line.startsWith(dataPrefix));
			if (data !== undefined) {
				yield data.slice(dataPrefix.length);
			}
		}
	}
}
