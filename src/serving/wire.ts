/** The callers' protocol: chat completions over HTTP with server-sent events. */

/** One message of a chat. */
export type ChatMessage = {readonly role: string; readonly content: string};

/** Body of a chat completion's request; other fields are taken and ignored. */
export type ChatRequest = {
	readonly model: string;
	readonly messages: readonly ChatMessage[];
	readonly stream?: boolean;
	readonly max_tokens?: number;
	readonly max_completion_tokens?: number;
};

/** Body of every refusal and failure. `ran` is `no`, `yes` or `unknown`. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly code: string;
		readonly ran: 'no' | 'yes' | 'unknown';
		readonly retry_after_ms?: number;
	};
};

type Finish = 'stop' | 'length';
type Head = {readonly id: string; readonly model: string; readonly created: number};

/** Makes one chunk of a streamed completion. */
export function createChunk(head: Head, text: string | undefined, finish?: Finish) {
	return {
		...head,
		object: 'chat.completion.chunk',
		choices: [{index: 0, delta: text === undefined ? {} : {role: 'assistant', content: text}, finish_reason: finish ?? null}],
	};
}

/** Makes a whole completion. */
export function createCompletion(head: Head, text: string, finish: Finish, usage: {readonly prompt: number; readonly completion: number}) {
	return {
		...head,
		object: 'chat.completion',
		choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: finish}],
		usage: {prompt_tokens: usage.prompt, completion_tokens: usage.completion, total_tokens: usage.prompt + usage.completion},
	};
}

/** Makes the body of a refusal or failure. */
export function createErrorBody(error: Error, code: string, ran: ErrorBody['error']['ran'], retryAfterMs?: number): ErrorBody {
	return {
		error: {
			message: error.message, type: error.name, code, ran, ...(retryAfterMs === undefined ? {} : {retry_after_ms: retryAfterMs}),
		},
	};
}
