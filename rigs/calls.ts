import {createHash, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EngineRow} from '../standins/engine/index.js';
import type {CallRow} from '../standins/service/index.js';
import {createChat, createClient} from './wire.js';

const operationPollMs = 100;

/** What came of a chat. */
export type ChatResult = {
	readonly prompt: string;
	readonly id: string;
	readonly text: string;
	/** Whether the end marker came. */
	readonly isWhole: boolean;
	readonly firstMs: number;
	readonly totalMs: number;
	readonly failure: unknown;
};

/** A chat to send. */
export type ChatCall = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly caller?: string;
	/** Called with each piece of text. */
	readonly onText?: (text: string) => void;
};

/** Sends a chat with the official client and reads it as a stream. */
export async function runChat(origin: string, call: ChatCall): Promise<ChatResult> {
	const start = performance.now();
	let id = '';
	let text = '';
	let isWhole = false;
	let firstMs = 0;
	let failure: unknown;
	try {
		const client = createClient(origin, call.caller ?? 'cafe-12');
		const stream = await client.chat.completions.create({...createChat(call.model, call.prompt, call.maxTokens), stream: true});
		for await (const chunk of stream) {
			id = chunk.id;
			firstMs ||= performance.now() - start;
			const [choice] = chunk.choices;
			const piece = choice?.delta.content ?? '';
			text += piece;
			isWhole ||= Boolean(choice?.finish_reason);
			call.onText?.(piece);
		}
	} catch (error) {
		failure = error;
	}

	return {
		prompt: call.prompt, id, text, isWhole, firstMs, totalMs: performance.now() - start, failure,
	};
}

/** Sends a chat with the official client and takes the answer in one piece. */
export async function collectChat(origin: string, call: ChatCall): Promise<ChatResult> {
	const start = performance.now();
	try {
		const client = createClient(origin, call.caller ?? 'cafe-12');
		const answer = await client.chat.completions.create(createChat(call.model, call.prompt, call.maxTokens));
		const [choice] = answer.choices;
		const totalMs = performance.now() - start;
		return {
			prompt: call.prompt, id: answer.id, text: choice?.message.content ?? '', isWhole: Boolean(choice?.finish_reason), firstMs: totalMs, totalMs, failure: undefined,
		};
	} catch (error) {
		return {
			prompt: call.prompt, id: '', text: '', isWhole: false, firstMs: 0, totalMs: performance.now() - start, failure: error,
		};
	}
}

/** What came of a call to an application service. */
export type CallResult = {readonly status: number; readonly body: string; readonly id: string};

/** Sends a call to an application service; the caller is named after the key. */
export async function sendServiceCall(origin: string, target: string, body?: unknown, key: string = randomUUID()): Promise<CallResult> {
	const response = await fetch(`${origin}/services/${target}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {authorization: `Bearer clerk-${key}`, ...body === undefined ? {} : {'content-type': 'application/json', 'idempotency-key': key}},
		body: body === undefined ? undefined : JSON.stringify(body),
	});
	return {status: response.status, body: await response.text(), id: response.headers.get('x-request-id') ?? ''};
}

/** An operation as an entry tells of it. */
export type ToldOperation = {readonly id: string; readonly state: string; readonly detail: string};

/** Asks an entry for an operation on an upstream of its domain, and reads its state until that is done. */
export async function runOperation(origin: string, request: {readonly id: string; readonly kind: string; readonly subject: string}, timeoutMs = 20_000): Promise<ToldOperation> {
	const asked = await fetch(`${origin}/ops/operations`, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(request)});
	if (!asked.ok) {
		throw new RangeError(`the operation was refused: ${await asked.text()}`);
	}

	const end = Date.now() + timeoutMs;
	for (;;) {
		const response = await fetch(`${origin}/ops/operations`);
		const operations = await response.json() as readonly ToldOperation[];
		const found = operations.find(({id}) => id === request.id);
		if (found?.state === 'done' || Date.now() > end) {
			return found ?? {id: request.id, state: 'unknown', detail: ''};
		}

		await sleep(operationPollMs);
	}
}

/** Reads an engine's journal. */
export async function readEngineJournal(origin: string): Promise<readonly EngineRow[]> {
	return await readJournal(origin) as readonly EngineRow[];
}

/** Reads a service's journal. */
export async function readServiceJournal(origin: string): Promise<readonly CallRow[]> {
	return await readJournal(origin) as readonly CallRow[];
}

/** Switches faults of a stand-in on or off. */
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
