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
import type {CallerDependencies} from './callerdependencies.js';
import {CallerStream} from './callerstream.js';
import {
	countFailure, readJson, sendFailure, sendJson,
} from './http.js';
import {createStreamDependencies, findHeldPlacement} from './placements.js';

/** Used to estimate the tokens of a prompt, which the entry doesn't tokenize. */
const estimatedCharactersPerToken = 4;

/** A validated chat request of a caller, with what is needed to serve it. */
type Chat = {
	readonly request: ChatRequest;
	readonly job: StreamJob;
	readonly service: ModelService;
	/** Hash of the caller, the model's version and the request. It is signed into the ids that the caller gets, so that they resume only this request for this caller. */
	readonly binding: string;
	readonly response: ServerResponse;
	readonly signal: AbortSignal;
};

/** Handles `POST /v1/chat/completions`, streamed or not. */
export async function serveChat(dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const controller = new AbortController();
	response.on('close', () => {
		controller.abort();
	});
	try {
		const chat = {...createChat(dependencies, request, await readJson(request)), response, signal: controller.signal};
		await (chat.request.isStream ? sendStream(dependencies, chat) : sendWhole(dependencies, chat));
		dependencies.metrics.count('requests', 'done');
	} catch (error) {
		sendFailure(response, error, dependencies.metrics);
	}
}

async function sendStream(dependencies: CallerDependencies, chat: Chat): Promise<void> {
	const stream = new CallerStream(chat.response, dependencies.timers, dependencies.metrics);
	const format = createFormatter(dependencies, chat);
	try {
		await runProcedure(serveStream(chat.job, createChatDependencies(dependencies, chat, async (events, placement) => stream.write(format(events, placement)))));
		stream.finish(streamEnd);
	} catch (error) {
		if (!stream.hasStarted || chat.response.destroyed) {
			throw error;
		}

		countFailure(error, dependencies.metrics);
		stream.abort(`data: ${JSON.stringify(createErrorBody(decideErrorAnswer(error)))}\n\n`);
	}
}

async function sendWhole(dependencies: CallerDependencies, chat: Chat): Promise<void> {
	let text = '';
	let lastPlacement: Placement | undefined;
	const end = await runProcedure(serveStream(chat.job, createChatDependencies(dependencies, chat, (events, placement) => {
		lastPlacement = placement;
		for (const event of events) {
			text += event.kind === 'token' ? event.text : '';
		}
	})));
	sendJson(chat.response, 200, createCompletion(createHead(dependencies, chat, lastPlacement), text, end.finishReason, createUsage(end)));
}

/**
Creates the function that formats an engine's events as server-sent events for the caller. The ids of events name the
engine, so they change when the generation continues on another one.
*/
function createFormatter(dependencies: CallerDependencies, chat: Chat): (events: readonly GenerateEvent[], placement: Placement) => string {
	let writer: ChunkWriter | undefined;
	let engineId = '';
	let completionId = '';
	return (events, placement) => {
		if (engineId !== placement.upstream.id) {
			engineId = placement.upstream.id;
			completionId = formatId(dependencies, chat, placement);
		}

		let text = '';
		if (!writer) {
			writer = createChunkWriter(createHead(dependencies, chat, placement));
			text = chat.job.offset === 0 ? writer.formatRole() : '';
		}

		for (const event of events) {
			text += event.kind === 'token'
				? writer.formatToken(`${completionId}:${event.offset}`, event.text)
				: formatEnd(writer, event, chat.request.hasUsage);
		}

		return text;
	};
}

/** Formats the end of a generation. It has no event id of its own: a caller that loses it resumes with the id of the last token. */
function formatEnd(writer: ChunkWriter, end: EndEvent, hasUsage: boolean): string {
	const usage = createUsage(end);
	return writer.formatFinish(end.finishReason, usage) + (hasUsage ? writer.formatUsage(usage) : '');
}

function createUsage(end: EndEvent) {
	return {promptTokens: end.promptTokens, completionTokens: end.offset};
}

function createChatDependencies(dependencies: CallerDependencies, chat: Chat, onEvents: StreamDependencies['onEvents']): StreamDependencies {
	return createStreamDependencies(dependencies, {
		service: chat.service, routingRequest: chat.job.request, signal: chat.signal, onEvents,
	});
}

function createHead(dependencies: CallerDependencies, chat: Chat, placement: Placement | undefined): CompletionHead {
	const created = Math.floor(dependencies.timers.getWallTime() / 1000);
	return {id: formatId(dependencies, chat, placement), model: chat.request.model, created};
}

function formatId(dependencies: CallerDependencies, chat: Chat, placement: Placement | undefined): string {
	const {domain, id} = placement?.upstream ?? {domain: dependencies.settings.domain, id: ''};
	return dependencies.ids.format({domain, engine: id, nonce: chat.job.request.id}, chat.binding);
}

function createChat(dependencies: CallerDependencies, request: IncomingMessage, body: unknown): Pick<Chat, 'request' | 'job' | 'service' | 'binding'> {
	const headers = parseHeaders(request.headers);
	const chatRequest = parseChat(body);
	const service = findService(dependencies, chatRequest);
	const binding = hashRequest(headers.caller, service.version, chatRequest);
	const lastEventId = request.headers[lastEventIdHeader];
	const resumePoint = typeof lastEventId === 'string' && chatRequest.isStream ? dependencies.ids.parseEventId(lastEventId, binding) : undefined;
	const routingRequest = createRoutingRequest(dependencies, service, {chatRequest, headers, id: resumePoint?.nonce ?? dependencies.ids.createNonce()});
	const job = {
		request: routingRequest, prompt: chatRequest.prompt, offset: resumePoint?.offset ?? 0, resumePlacement: resumePoint && findHeldPlacement(dependencies, resumePoint),
	};
	return {
		request: chatRequest, job, service, binding,
	};
}

function findService(dependencies: CallerDependencies, chatRequest: ChatRequest): ModelService {
	const deployment = dependencies.getDeployment();
	if (!deployment) {
		throw new NotRunError('no configuration is known yet', {props: {reason: refusalReason.noConfiguration}});
	}

	for (const service of deployment.services) {
		const isFound = service.kind === serviceKind.model && service.model === chatRequest.model;
		if (isFound && (chatRequest.adapter === undefined || service.adapters.includes(chatRequest.adapter))) {
			return service;
		}
	}

	const name = chatRequest.adapter === undefined ? chatRequest.model : `${chatRequest.model}:${chatRequest.adapter}`;
	throw new NotRunError(`no service has the model ${name}`, {props: {reason: refusalReason.unknownModel}});
}

function createRoutingRequest(
	dependencies: CallerDependencies,
	service: ModelService,
	source: {readonly chatRequest: ChatRequest; readonly headers: CallHeaders; readonly id: string},
): RoutingRequest {
	const now = dependencies.timers.getNow();
	const {chatRequest, headers} = source;
	const deadlineMs = Math.min(headers.deadlineMs ?? service.deadlineMs, service.deadlineMs);
	return {
		id: source.id,
		caller: headers.caller,
		service: service.name,
		model: service.model,
		version: service.version,
		adapter: chatRequest.adapter,
		promptTokens: Math.max(1, Math.ceil(chatRequest.prompt.length / estimatedCharactersPerToken)),
		maxTokens: chatRequest.maxTokens,
		prefixes: hashPrefixes({
			model: service.model, version: service.version, adapter: chatRequest.adapter, prompt: chatRequest.prompt,
		}),
		priority: headers.priority,
		firstTokenTargetAt: now + Math.min(service.firstTokenMs, deadlineMs),
		deadlineAt: now + deadlineMs,
	};
}
