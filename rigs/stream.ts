import {createChat} from './wire.js';

/** What was received of a chat's event stream, with the event id after which it can be resumed. */
export type RawStream = {
	text: string;
	/** Id of the last event received. */
	lastEventId: string;
	/** Whether the end marker was received. */
	isComplete: boolean;
	/** HTTP status; 0 if no answer began. */
	status: number;
	/** Body of an answer with a status other than 200; empty otherwise. */
	refusal: string;
	/** The error that ended the request or the stream, if any. */
	failure: unknown;
};

/** A chat to read as a stream. */
export type RawStreamRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Id of the event after which to resume. */
	readonly lastEventId?: string;
	/** Called after each event with what has been received so far. */
	readonly onEvent?: (stream: RawStream) => void;
};

const doneMarker = '[DONE]';

/** Sends a chat with plain `fetch` and reads its event stream until it ends or breaks; an error becomes part of the result. */
export async function readRawStream(origin: string, request: RawStreamRequest): Promise<RawStream> {
	const stream: RawStream = {
		text: '', lastEventId: request.lastEventId ?? '', isComplete: false, status: 0, refusal: '', failure: undefined,
	};
	try {
		const response = await fetch(`${origin}/v1/chat/completions`, {
			method: 'POST',
			headers: {
				authorization: 'Bearer cafe-12',
				'content-type': 'application/json',
				...request.lastEventId === undefined ? {} : {'last-event-id': request.lastEventId},
			},
			body: JSON.stringify({...createChat(request.model, request.prompt, request.maxTokens), stream: true}),
		});
		stream.status = response.status;
		if (response.status !== 200 || !response.body) {
			stream.refusal = await response.text();
			return stream;
		}

		await readEvents(response.body, stream, request);
	} catch (error) {
		stream.failure = error;
	}

	return stream;
}

async function readEvents(body: AsyncIterable<Uint8Array>, stream: RawStream, request: RawStreamRequest): Promise<void> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		const events = text.split('\n\n');
		text = events.pop() ?? '';
		for (const event of events) {
			addEvent(stream, event);
			request.onEvent?.(stream);
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
