import {createChat} from './wire.js';

/** A stream of a chat as it came over the wire, with the ids by which it can be resumed. */
export type RawStream = {
	text: string;
	/** Id of the last event. */
	lastEventId: string;
	/** Whether the end marker came. */
	isComplete: boolean;
	status: number;
	/** Body of a refusal. */
	refusal: string;
	failure: unknown;
};

/** A chat to stream. */
export type RawStreamRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Id of the last event that the caller has, to go on after it. */
	readonly lastEventId?: string;
	/** Called after each event with what came so far. */
	readonly onEvent?: (stream: RawStream) => void;
};

const doneMarker = '[DONE]';

/** Reads a chat's stream to its end or to its break, without a library between. */
export async function readRawStream(origin: string, call: RawStreamRequest): Promise<RawStream> {
	const stream: RawStream = {
		text: '', lastEventId: call.lastEventId ?? '', isComplete: false, status: 0, refusal: '', failure: undefined,
	};
	try {
		const response = await fetch(`${origin}/v1/chat/completions`, {
			method: 'POST',
			headers: {
				authorization: 'Bearer cafe-12',
				'content-type': 'application/json',
				...call.lastEventId === undefined ? {} : {'last-event-id': call.lastEventId},
			},
			body: JSON.stringify({...createChat(call.model, call.prompt, call.maxTokens), stream: true}),
		});
		stream.status = response.status;
		if (response.status !== 200 || !response.body) {
			stream.refusal = await response.text();
			return stream;
		}

		await readEvents(response.body, stream, call);
	} catch (error) {
		stream.failure = error;
	}

	return stream;
}

async function readEvents(body: AsyncIterable<Uint8Array>, stream: RawStream, call: RawStreamRequest): Promise<void> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		const events = text.split('\n\n');
		text = events.pop() ?? '';
		for (const event of events) {
			addEvent(stream, event);
			call.onEvent?.(stream);
		}
	}
}

function addEvent(stream: RawStream, event: string): void {
	const lines = event.split('\n');
	const id = lines.find(line => line.startsWith('id: '))?.slice('id: '.length);
	const data = lines.find(line => line.startsWith('data: '))?.slice('data: '.length);
	stream.lastEventId = id ?? stream.lastEventId;
	if (data === doneMarker) {
		stream.isComplete = true;
	} else if (data !== undefined) {
		const chunk = JSON.parse(data) as {readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}}>};
		stream.text += chunk.choices?.[0]?.delta.content ?? '';
	}
}
