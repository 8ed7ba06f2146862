import OpenAI from 'openai';

/** Creates the official client of the callers' protocol for an entry; `caller` is its API key. It does not retry. */
export function createClient(origin: string, caller: string): OpenAI {
	return new OpenAI({baseURL: `${origin}/v1`, apiKey: caller, maxRetries: 0});
}

/** Creates the body of a chat request with one user message. */
export function createChat(model: string, prompt: string, maxTokens: number) {
	return {model, messages: [{role: 'user' as const, content: prompt}], max_completion_tokens: maxTokens};
}
