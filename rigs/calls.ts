import {createHash, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EngineRow} from '../standins/engine/index.js';
import type {CallRow} from '../standins/service/index.js';
import {createChat, createClient} from './wire.js';

const operationPollIntervalMs = 100;

/** How a chat ended. */
export type ChatResult = {
	readonly prompt: string;
	/** Id of the completion; empty if no answer began. */
	readonly id: string;
	readonly text: string;
	/** Whether the answer has a finish reason. */
	readonly isComplete: boolean;
	/** Time until the first chunk, in milliseconds; 0 if none came. */
	readonly firstChunkMs: number;
	readonly totalMs: number;
	/** The error that the client threw, if any. */
	readonly failure: unknown;
};

/** A chat to send. */
export type ChatRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** API key, which names the caller. */
	readonly caller?: string;
	/** Called with the text of each chunk of a stream. */
	readonly onText?: (text: string) => void;
};

/** Sends a chat with the official client and reads the answer as a stream; an error becomes part of the result. */
export async function runChat(origin: string, request: ChatRequest): Promise<ChatResult> {
	const startedAt = performance.now();
	let id = '';
	let text = '';
	let isComplete = false;
	let firstChunkMs = 0;
	let failure: unknown;
	try {
		const client = createClient(origin, request.caller ?? 'cafe-12');
		const stream = await client.chat.completions.create({...createChat(request.model, request.prompt, request.maxTokens), stream: true});
		for await (const chunk of stream) {
			id = chunk.id;
			firstChunkMs ||= performance.now() - startedAt;
			const [choice] = chunk.choices;
			const delta = choice?.delta.content ?? '';
			text += delta;
			isComplete ||= Boolean(choice?.finish_reason);
			request.onText?.(delta);
		}
	} catch (error) {
		failure = error;
	}

	return {
		prompt: request.prompt, id, text, isComplete, firstChunkMs, totalMs: performance.now() - startedAt, failure,
	};
}

/** Sends a chat with the official client and reads the answer as one body; an error becomes part of the result. */
export async function collectChat(origin: string, request: ChatRequest): Promise<ChatResult> {
	const startedAt = performance.now();
	try {
		const client = createClient(origin, request.caller ?? 'cafe-12');
		const answer = await client.chat.completions.create(createChat(request.model, request.prompt, request.maxTokens));
		const [choice] = answer.choices;
		const totalMs = performance.now() - startedAt;
		return {
			prompt: request.prompt, id: answer.id, text: choice?.message.content ?? '', isComplete: Boolean(choice?.finish_reason), firstChunkMs: totalMs, totalMs, failure: undefined,
		};
	} catch (error) {
		return {
			prompt: request.prompt, id: '', text: '', isComplete: false, firstChunkMs: 0, totalMs: performance.now() - startedAt, failure: error,
		};
	}
}

/** The answer to a call to an application service; `id` is the id of the request. */
export type ServiceCallResult = {readonly status: number; readonly body: string; readonly id: string};

/** Sends a call to `target`, a service's name and the path in it; the idempotency key also names the caller. Without a body it is a GET, else a POST. */
export async function sendServiceCall(origin: string, target: string, body?: unknown, key: string = randomUUID()): Promise<ServiceCallResult> {
	const response = await fetch(`${origin}/services/${target}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {authorization: `Bearer clerk-${key}`, ...body === undefined ? {} : {'content-type': 'application/json', 'idempotency-key': key}},
		body: body === undefined ? undefined : JSON.stringify(body),
	});
	return {status: response.status, body: await response.text(), id: response.headers.get('x-request-id') ?? ''};
}

/** An operation as an entry reports it. */
export type OperationStatus = {readonly id: string; readonly state: string; readonly detail: string};

/** Requests an operation on an upstream at an entry of its domain and polls it until it is done or the timeout is over; returns its last state. Throws if the entry refuses it. */
export async function runOperation(origin: string, request: {readonly id: string; readonly kind: string; readonly subject: string}, timeoutMs = 20_000): Promise<OperationStatus> {
	const submission = await fetch(`${origin}/ops/operations`, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(request)});
	if (!submission.ok) {
		throw new RangeError(`operation ${request.kind} ${request.subject} was refused: ${await submission.text()}`);
	}

	const deadlineAt = Date.now() + timeoutMs;
	for (;;) {
		const response = await fetch(`${origin}/ops/operations`);
		const operations = await response.json() as readonly OperationStatus[];
		const found = operations.find(({id}) => id === request.id);
		if (found?.state === 'done' || Date.now() > deadlineAt) {
			return found ?? {id: request.id, state: 'unknown', detail: ''};
		}

		await sleep(operationPollIntervalMs);
	}
}

/** Reads an engine's journal. */
export async function readEngineJournal(origin: string): Promise<readonly EngineRow[]> {
	return await readJournal(origin) as readonly EngineRow[];
}

/** Reads the journal of an application service. */
export async function readServiceJournal(origin: string): Promise<readonly CallRow[]> {
	return await readJournal(origin) as readonly CallRow[];
}

/** Turns faults of a stand-in on or off. */
export async function sendControl(origin: string, control: unknown): Promise<void> {
	await fetch(`${origin}/control`, {method: 'POST', body: JSON.stringify(control)});
}

/** Hashes an answer's text as an engine's journal does. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Hashes a body as a service's journal does. */
export function hashBody(body: unknown): string {
	return createHash('sha256').update(JSON.stringify(body)).digest('hex');
}

async function readJournal(origin: string): Promise<unknown> {
	const response = await fetch(`${origin}/journal`);
	const {journal} = await response.json() as {journal: unknown};
	return journal;
}
