import OpenAI from 'openai';

/** Makes the official client of the callers' protocol, pointed at an entry. */
export function createClient(origin: string, caller: string): OpenAI {
	return new OpenAI({baseURL: `${origin}/v1`, apiKey: caller, maxRetries: 0});
}

/** Makes the body of a chat request of one user message. */
export function createChat(model: string, prompt: string, maxTokens: number) {
	return {model, messages: [{role: 'user' as const, content: prompt}], max_completion_tokens: maxTokens};
}
