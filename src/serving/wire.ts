/** Protocol of callers: chat completions over HTTP, streamed as server-sent events. */
import {z} from 'zod';
import type {ValidationProblem} from '../errors/index.js';

const maxMessages = 2000;
const maxTokensLimit = 131_072;
const maxModelLength = 200;

const contentPartSchema = z.object({type: z.literal('text'), text: z.string()});
const messageSchema = z.object({
	role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
	content: z.union([z.string(), z.array(contentPartSchema)]),
});
const tokenCountSchema = z.int().min(1).max(maxTokensLimit);

/** Body of a chat completion request; other fields are accepted and ignored. */
export const chatSchema = z.object({
	model: z.string().min(1).max(maxModelLength),
	messages: z.array(messageSchema).min(1).max(maxMessages),
	stream: z.boolean().nullish(),
	stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: tokenCountSchema.nullish(),
	max_completion_tokens: tokenCountSchema.nullish(),
	n: z.literal(1).nullish(),
});

/** Whether a request ran, as the body of a refusal or failure says. */
export type RunStatus = 'no' | 'yes' | 'unknown';

/** Body of every refusal and failure. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly param: string | null;
		readonly code: string;
		readonly ran: RunStatus;
		readonly retry_after_ms?: number;
		readonly problems?: readonly ValidationProblem[];
	};
};

/** What the body of a refusal or failure is made of. */
export type ErrorDetails = {
	readonly message: string;
	readonly type: string;
	readonly code: string;
	readonly ran: RunStatus;
	readonly retryAfterMs?: number;
	readonly problems?: readonly ValidationProblem[];
};

type FinishReason = 'stop' | 'length';

/** Fields that all chunks of a completion share. */
export type CompletionHead = {readonly id: string; readonly model: string; readonly created: number};

/** Number of tokens in the prompt and in the completion. */
export type Usage = {readonly promptTokens: number; readonly completionTokens: number};

/** Text that ends a stream; a stream without it is incomplete. */
export const streamEnd = 'data: [DONE]\n\n';

/** Header with the id of the last event that a caller has received; a caller sends it to resume an answer. */
export const lastEventIdHeader = 'last-event-id';

/**
Creates the writer of a completion's chunks. The fields that all chunks share are serialized only once, since every
token has a chunk.
*/
export function createChunkWriter(head: CompletionHead) {
	const chunkPrefix = `data: ${JSON.stringify({...head, object: 'chat.completion.chunk'}).slice(0, -1)},"choices":[{"index":0,"delta":{`;
	return {
		formatToken: (eventId: string, text: string) => `id: ${eventId}\n${chunkPrefix}"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`,
		formatRole: () => `${chunkPrefix}"role":"assistant","content":""},"finish_reason":null}]}\n\n`,
		formatFinish: (finishReason: FinishReason, usage: Usage) => `${chunkPrefix}},"finish_reason":"${finishReason}"}],"usage":${JSON.stringify(createUsageBody(usage))}}\n\n`,
		formatUsage: (usage: Usage) => `data: ${JSON.stringify({
			...head, object: 'chat.completion.chunk', choices: [], usage: createUsageBody(usage),
		})}\n\n`,
	};
}

/** Writer of a completion's chunks. */
export type ChunkWriter = ReturnType<typeof createChunkWriter>;

/** Creates the body of a completion that is not streamed. */
export function createCompletion(head: CompletionHead, text: string, finishReason: FinishReason, usage: Usage) {
	return {
		...head,
		object: 'chat.completion',
		choices: [{
			index: 0, message: {role: 'assistant', content: text, refusal: null}, logprobs: null, finish_reason: finishReason,
		}],
		usage: createUsageBody(usage),
	};
}

/** Creates the body of the list of models; `created` is in seconds since the epoch. */
export function createModelList(models: readonly string[], created: number) {
	return {
		object: 'list',
		data: models.map(id => ({
			id, object: 'model', created, owned_by: 'crocusworks',
		})),
	};
}

/** Creates the body of a refusal or failure. */
export function createErrorBody(details: ErrorDetails): ErrorBody {
	const {message, type, code, ran, retryAfterMs, problems} = details;
	return {
		error: {
			message,
			type,
			param: problems?.[0]?.path ?? null,
			code,
			ran,
			...(retryAfterMs === undefined ? {} : {retry_after_ms: Math.ceil(retryAfterMs)}),
			...(problems === undefined ? {} : {problems}),
		},
	};
}

function createUsageBody({promptTokens, completionTokens}: Usage) {
	return {prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens};
}
