import type {IncomingMessage, ServerResponse} from 'node:http';
import {serviceKind} from '../deployment/index.js';
import type {ModelService} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import type {Placement, RoutingRequest} from '../routing/index.js';
import {
	createChunkWriter, createCompletion, createErrorBody, decideErrorAnswer, hashRequest, lastEventIdHeader, parseChat, parseHeaders, serveStream, streamEnd,
} from '../serving/index.js';
import type {
	CallHeaders, ChatRequest, ChunkWriter, CompletionHead, StreamJob, StreamDependencies,
} from '../serving/index.js';
import {hashPrefixes} from '../upstreams/index.js';
import type {EndEvent, GenerateEvent} from '../upstreams/index.js';
import type {CallerParts} from './callerparts.js';
import {CallerStream} from './callerstream.js';
import {
	countFailure, readJson, sendFailure, sendJson,
} from './http.js';
import {createStreamParts, findHeldPlacement} from './placements.js';

const charactersPerToken = 4;

/** One request of a caller, checked. */
type Chat = {
	readonly ask: ChatRequest;
	readonly job: StreamJob;
	readonly service: ModelService;
	/** Binds the request's id to the caller and the body. */
	readonly binding: string;
	readonly response: ServerResponse;
	readonly signal: AbortSignal;
};

/** Answers `POST /v1/chat/completions`. */
export async function serveChat(parts: CallerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const abort = new AbortController();
	response.on('close', () => {
		abort.abort();
	});
	try {
		const chat = {...createChat(parts, request, await readJson(request)), response, signal: abort.signal};
		await (chat.ask.isStream ? sendStream(parts, chat) : sendWhole(parts, chat));
		parts.metrics.count('requests', 'done');
	} catch (error) {
		sendFailure(response, error, parts.metrics);
	}
}

async function sendStream(parts: CallerParts, chat: Chat): Promise<void> {
	const stream = new CallerStream(chat.response, parts.timers, parts.metrics);
	const format = createFormatter(parts, chat);
	try {
		await runProcedure(serveStream(chat.job, createChatParts(parts, chat, async (events, placement) => stream.write(format(events, placement)))));
		stream.finish(streamEnd);
	} catch (error) {
		if (!stream.hasBegun || chat.response.destroyed) {
			throw error;
		}

		countFailure(error, parts.metrics);
		stream.abort(`data: ${JSON.stringify(createErrorBody(decideErrorAnswer(error)))}\n\n`);
	}
}

async function sendWhole(parts: CallerParts, chat: Chat): Promise<void> {
	let text = '';
	let last: Placement | undefined;
	const end = await runProcedure(serveStream(chat.job, createChatParts(parts, chat, (events, placement) => {
		last = placement;
		for (const event of events) {
			text += event.kind === 'token' ? event.text : '';
		}
	})));
	sendJson(chat.response, 200, createCompletion(createHead(parts, chat, last), text, end.finishReason, createUsage(end)));
}

/** Makes the function that turns events into the text that the caller gets. */
function createFormatter(parts: CallerParts, chat: Chat): (events: readonly GenerateEvent[], placement: Placement) => string {
	let writer: ChunkWriter | undefined;
	let place = '';
	let eventId = '';
	return (events, placement) => {
		if (place !== placement.upstream.id) {
			place = placement.upstream.id;
			eventId = formatId(parts, chat, placement);
		}

		let text = '';
		if (!writer) {
			writer = createChunkWriter(createHead(parts, chat, placement));
			text = chat.job.offset === 0 ? writer.formatRole() : '';
		}

		for (const event of events) {
			text += event.kind === 'token'
				? writer.formatToken(`${eventId}:${event.offset}`, event.text)
				: formatEnd(writer, event, chat.ask.hasUsage);
		}

		return text;
	};
}

/** The end has no event id of its own: a caller that lost what follows comes back with the last token's. */
function formatEnd(writer: ChunkWriter, end: EndEvent, hasUsage: boolean): string {
	const usage = createUsage(end);
	return writer.formatFinish(end.finishReason, usage) + (hasUsage ? writer.formatUsage(usage) : '');
}

function createUsage(end: EndEvent) {
	return {promptTokens: end.promptTokens, completionTokens: end.offset};
}

function createChatParts(parts: CallerParts, chat: Chat, onEvents: StreamDependencies['onEvents']): StreamDependencies {
	return createStreamParts(parts, {
		service: chat.service, work: chat.job.request, signal: chat.signal, onEvents,
	});
}

function createHead(parts: CallerParts, chat: Chat, placement: Placement | undefined): CompletionHead {
	const created = Math.floor(parts.timers.getWallTime() / 1000);
	return {id: formatId(parts, chat, placement), model: chat.ask.model, created};
}

function formatId(parts: CallerParts, chat: Chat, placement: Placement | undefined): string {
	const {domain, id} = placement?.upstream ?? {domain: parts.settings.domain, id: ''};
	return parts.ids.format({domain, engine: id, nonce: chat.job.request.id}, chat.binding);
}

function createChat(parts: CallerParts, request: IncomingMessage, body: unknown): Pick<Chat, 'ask' | 'job' | 'service' | 'binding'> {
	const headers = parseHeaders(request.headers);
	const ask = parseChat(body);
	const service = findService(parts, ask);
	const binding = hashRequest(headers.caller, service.version, ask);
	const lastId = request.headers[lastEventIdHeader];
	const point = typeof lastId === 'string' && ask.isStream ? parts.ids.parseEventId(lastId, binding) : undefined;
	const routingRequest = createWork(parts, service, {ask, headers, id: point?.nonce ?? parts.ids.createNonce()});
	const job = {
		request: routingRequest, prompt: ask.prompt, offset: point?.offset ?? 0, resumePlacement: point && findHeldPlacement(parts, point),
	};
	return {
		ask, job, service, binding,
	};
}

function findService(parts: CallerParts, ask: ChatRequest): ModelService {
	const deployment = parts.getDeployment();
	if (!deployment) {
		throw new NotRunError('no configuration is known yet', {props: {reason: refusalReason.noConfiguration}});
	}

	for (const service of deployment.services) {
		const isFound = service.kind === serviceKind.model && service.model === ask.model;
		if (isFound && (ask.adapter === undefined || service.adapters.includes(ask.adapter))) {
			return service;
		}
	}

	const name = ask.adapter === undefined ? ask.model : `${ask.model}:${ask.adapter}`;
	throw new NotRunError(`no service has the model ${name}`, {props: {reason: refusalReason.unknownModel}});
}

function createWork(parts: CallerParts, service: ModelService, from: {readonly ask: ChatRequest; readonly headers: CallHeaders; readonly id: string}): RoutingRequest {
	const now = parts.timers.getNow();
	const {ask, headers} = from;
	const deadlineMs = Math.min(headers.deadlineMs ?? service.deadlineMs, service.deadlineMs);
	return {
		id: from.id,
		caller: headers.caller,
		service: service.name,
		model: service.model,
		version: service.version,
		adapter: ask.adapter,
		promptTokens: Math.max(1, Math.ceil(ask.prompt.length / charactersPerToken)),
		maxTokens: ask.maxTokens,
		prefixes: hashPrefixes({
			model: service.model, version: service.version, adapter: ask.adapter, prompt: ask.prompt,
		}),
		priority: headers.priority,
		firstTokenTargetAt: now + Math.min(service.firstTokenMs, deadlineMs),
		deadlineAt: now + deadlineMs,
	};
}
