import {createHash} from 'node:crypto';
import type {z} from 'zod';
import {BadRequestError} from '../errors/index.js';
import type {ValidationProblem} from '../errors/index.js';
import {chatSchema} from './wire.js';

const defaultMaxTokens = 256;
/** Number of characters of a malformed value that a problem quotes at most. */
const maxFoundLength = 60;
const maxPriority = 9;
const maxDeadlineMs = 3_600_000;
const maxProblems = 20;
/** Separates model and adapter in a requested model name, as in `contracts:spanish`. */
const adapterSeparator = ':';

/** A caller's chat completion request, checked. */
export type ChatRequest = {
	readonly model: string;
	readonly adapter: string | undefined;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly isStream: boolean;
	/** Whether a stream ends with a chunk of token counts. */
	readonly hasUsage: boolean;
};

/** Parameters of a call that callers give in headers. */
export type CallHeaders = {
	readonly caller: string;
	/** Time for the whole answer, in milliseconds; `undefined` when the service's own deadline applies. */
	readonly deadlineMs: number | undefined;
	readonly priority: number;
};

/** Checks the body of a chat completion request. Throws `BadRequestError` with the first `maxProblems` problems. */
export function parseChat(body: unknown): ChatRequest {
	const result = chatSchema.safeParse(body);
	if (!result.success) {
		throw createBadRequest(result.error.issues.slice(0, maxProblems).map(issue => createProblem(issue, body)));
	}

	const request = result.data;
	const separatorIndex = request.model.indexOf(adapterSeparator);
	return {
		model: separatorIndex === -1 ? request.model : request.model.slice(0, separatorIndex),
		adapter: separatorIndex === -1 ? undefined : request.model.slice(separatorIndex + 1),
		prompt: request.messages.map(({role, content}) => `${role}: ${formatContent(content)}`).join('\n'),
		maxTokens: request.max_completion_tokens ?? request.max_tokens ?? defaultMaxTokens,
		isStream: request.stream ?? false,
		hasUsage: request.stream_options?.include_usage ?? false,
	};
}

/** Checks the headers that any call may have. Throws `BadRequestError`. */
export function parseHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>): CallHeaders {
	const authorization = String(headers.authorization ?? '');
	const caller = /^Bearer (?<name>\S{1,200})$/iv.exec(authorization)?.groups?.name;
	if (authorization !== '' && caller === undefined) {
		throw createBadRequest([{
			path: 'headers.authorization', line: 0, found: 'another scheme', allowed: '"Bearer <caller>"',
		}]);
	}

	return {
		caller: caller ?? 'anonymous',
		deadlineMs: parseInteger(headers, 'x-deadline-ms', {min: 1, max: maxDeadlineMs}),
		priority: parseInteger(headers, 'x-priority', {min: 0, max: maxPriority}) ?? 0,
	};
}

/** Computes the hash that binds a request's id to its caller and to everything that determines the answer. */
export function hashRequest(caller: string, version: string, request: ChatRequest): string {
	return createHash('sha256').update(JSON.stringify([caller, request.model, request.adapter, version, request.prompt, request.maxTokens])).digest('base64url');
}

function parseInteger(headers: Readonly<Record<string, unknown>>, name: string, {min, max}: {readonly min: number; readonly max: number}): number | undefined {
	const found = headers[name];
	if (found === undefined) {
		return undefined;
	}

	const text = typeof found === 'string' ? found : 'several values';
	const value = Number(text);
	if (!/^\d{1,9}$/v.test(text) || value < min || value > max) {
		throw createBadRequest([{
			path: `headers.${name}`, line: 0, found: text.slice(0, maxFoundLength), allowed: `a whole number from ${min} to ${max}`,
		}]);
	}

	return value;
}

function createBadRequest(problems: readonly ValidationProblem[]): Error {
	const message = problems.map(({path, found, allowed}) => `${path}: found ${found}, allowed: ${allowed}`).join('; ');
	return new BadRequestError(message, {props: {problems}});
}

function createProblem(issue: z.core.$ZodIssue, body: unknown): ValidationProblem {
	return {
		path: issue.path.length === 0 ? 'body' : issue.path.join('.'),
		line: 0,
		found: formatFound(issue.path, body),
		allowed: issue.message,
	};
}

function formatFound(path: readonly PropertyKey[], body: unknown): string {
	let found = body;
	for (const key of path) {
		found = (found as Readonly<Record<PropertyKey, unknown>> | undefined)?.[key];
	}

	return found === undefined ? 'nothing' : JSON.stringify(found).slice(0, maxFoundLength);
}

function formatContent(content: string | ReadonlyArray<{readonly text: string}>): string {
	return typeof content === 'string' ? content : content.map(part => part.text).join('');
}
