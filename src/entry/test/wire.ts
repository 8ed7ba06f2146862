import OpenAI from 'openai';
import {request as sendRequest} from 'undici';
import type {ErrorBody} from '../../serving/index.js';

/** Maximum number of tokens of an answer to {@link chat}. */
export const maxTokens = 40;

/** Text of the only message of {@link chat}. */
export const content = 'Is the deposit late?';

/** Body of a chat request. */
export const chat = {model: 'contracts', messages: [{role: 'user' as const, content}], max_completion_tokens: maxTokens};

/** Body of a chat request whose answer goes on for about a second at the rig's engines. */
export const longChat = {...chat, max_completion_tokens: 2000};

/** Body of a chat request in which three fields are malformed. */
export const malformedChat = {model: 7, messages: [{role: 'robot', content: 'x'}], max_tokens: -1};

/** Body of a chat request that differs from {@link chat}. */
export const otherChat = {...chat, max_completion_tokens: maxTokens + 1};

type Chunk = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}; readonly finish_reason: string | null}>;
	readonly error?: ErrorBody['error'];
};

/** Response to a chat request. */
export type ChatResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly text: string;
	/** Whether the connection was closed before the answer's end. */
	readonly isCut: boolean;
	readonly error: ErrorBody['error'] | undefined;
};

/** Creates the official OpenAI client. */
export function createClient(address: string): OpenAI {
	return new OpenAI({baseURL: `http://${address}/v1`, apiKey: 'cafe-12', maxRetries: 0});
}

/** Sends a chat request and reads the response, also one that is cut off. */
export async function sendChat(address: string, body: unknown, headers: Record<string, string> = {}): Promise<ChatResponse> {
	const response = await sendRequest(`http://${address}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: 'Bearer cafe-12', 'content-type': 'application/json', ...headers}, body: JSON.stringify(body),
	});
	let text = '';
	let isCut = false;
	try {
		for await (const chunk of response.body) {
			text += String(chunk);
		}
	} catch {
		isCut = true;
	}

	const error = text.startsWith('{') ? (JSON.parse(text) as Partial<ErrorBody>).error : undefined;
	return {
		status: response.statusCode, headers: response.headers, text, isCut, error,
	};
}

/** Parses a streamed answer. */
export function parseStream(stream: string) {
	const events = stream.split('\n\n').filter(Boolean);
	const chunks = events.map(event => /^data: (?<data>.*)$/mv.exec(event)?.groups?.data ?? '').filter(data => data.startsWith('{'))
		.map(data => JSON.parse(data) as Chunk);
	return {
		/** Event ids, `undefined` for events without one. */
		ids: events.map(event => /^id: (?<id>.*)$/mv.exec(event)?.groups?.id),
		/** Text of each chunk. */
		texts: chunks.map(chunk => chunk.choices?.[0]?.delta.content ?? ''),
		text: chunks.map(chunk => chunk.choices?.[0]?.delta.content ?? '').join(''),
		isWhole: stream.endsWith('data: [DONE]\n\n'),
		error: chunks.at(-1)?.error,
	};
}

/** Returns the finish reason of a choice, if it has one. */
export function getFinishReason(choice: {readonly finish_reason?: string | null} | undefined): string | undefined {
	return choice?.finish_reason ?? undefined;
}
