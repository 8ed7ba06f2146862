import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {serviceKind} from '../deployment/index.js';
import type {ModelService} from '../deployment/index.js';
import {BadRequestError, NotRunError, refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import type {Work} from '../routing/index.js';
import {createChunk, createCompletion, serveStream} from '../serving/index.js';
import type {ChatRequest} from '../serving/index.js';
import {readJson, sendFailure, sendJson} from './http.js';
import type {EntryParts} from './parts.js';

const charactersPerToken = 4;
const defaultMaxTokens = 256;

/** Answers `POST /v1/chat/completions`. */
export async function serveChat(parts: EntryParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const abort = new AbortController();
	response.on('close', () => {
		abort.abort();
	});
	try {
		const body = await readJson(request) as ChatRequest;
		const service = findService(parts, body);
		const prompt = body.messages.map(message => `${message.role}: ${message.content}`).join('\n');
		const work = createWork(parts, service, body, {prompt, caller: getCaller(request)});
		await (body.stream ? sendStream(parts, work, {prompt, response, signal: abort.signal}) : sendWhole(parts, work, {prompt, response, signal: abort.signal}));
	} catch (error) {
		sendFailure(response, error);
	}
}

type Call = {readonly prompt: string; readonly response: ServerResponse; readonly signal: AbortSignal};

async function sendStream(parts: EntryParts, work: Work, call: Call): Promise<void> {
	const head = {id: work.id, model: work.model, created: Math.floor(parts.timers.getWall() / 1000)};
	const write = (offset: number, chunk: unknown) => {
		if (!call.response.headersSent) {
			call.response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}

		call.response.write(`id: ${work.id}:${offset}\ndata: ${JSON.stringify(chunk)}\n\n`);
	};

	await runProcedure(serveStream(work, call.prompt, {
		router: parts.router,
		getEngine: placement => parts.getEngine(placement.upstream),
		onEvent(event) {
			write(event.offset, event.kind === 'token' ? createChunk(head, event.text) : createChunk(head, undefined, event.finishReason));
		},
		signal: call.signal,
	}));
	call.response.end('data: [DONE]\n\n');
}

async function sendWhole(parts: EntryParts, work: Work, call: Call): Promise<void> {
	let text = '';
	const end = await runProcedure(serveStream(work, call.prompt, {
		router: parts.router,
		getEngine: placement => parts.getEngine(placement.upstream),
		onEvent(event) {
			text += event.kind === 'token' ? event.text : '';
		},
		signal: call.signal,
	}));
	const head = {id: work.id, model: work.model, created: Math.floor(parts.timers.getWall() / 1000)};
	sendJson(call.response, 200, createCompletion(head, text, end.finishReason, {prompt: end.promptTokens, completion: end.offset}));
}

function findService(parts: EntryParts, body: ChatRequest): ModelService {
	if (typeof body.model !== 'string' || !Array.isArray(body.messages)) {
		throw new BadRequestError('`model` must be a string and `messages` a list');
	}

	const deployment = parts.getDeployment();
	if (!deployment) {
		throw new NotRunError('no configuration is known yet', {props: {reason: refusalReason.noConfiguration}});
	}

	const found = deployment.services.find(service => service.kind === serviceKind.model && service.model === body.model);
	if (found?.kind !== serviceKind.model) {
		throw new NotRunError(`no service has the model ${body.model}`, {props: {reason: refusalReason.unknownModel}});
	}

	return found;
}

function createWork(parts: EntryParts, service: ModelService, body: ChatRequest, from: {readonly prompt: string; readonly caller: string}): Work {
	const now = parts.timers.getNow();
	return {
		id: randomUUID(),
		caller: from.caller,
		service: service.name,
		model: service.model,
		version: service.version,
		promptTokens: Math.ceil(from.prompt.length / charactersPerToken),
		maxTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens,
		prefixes: [],
		priority: 0,
		firstTokenDue: now + service.firstTokenMs,
		due: now + service.deadlineMs,
	};
}

function getCaller(request: IncomingMessage): string {
	return request.headers.authorization ?? 'anonymous';
}
