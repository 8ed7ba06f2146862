import type {IncomingMessage, ServerResponse} from 'node:http';
import {serviceKind} from '../deployment/index.js';
import type {ModelService, Upstream} from '../deployment/index.js';
import {BadRequestError, NotRunError} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import type {RoutingRequest} from '../routing/index.js';
import {
	createProof, decideErrorAnswer, isProofValid, relayHeader, serveRelayed,
} from '../serving/index.js';
import type {GenerateRequest} from '../upstreams/index.js';
import type {CallerParts} from './callerparts.js';
import {CallerStream} from './callerstream.js';
import {readJson, sendFailure, sendJson} from './http.js';
import {createStreamParts} from './placements.js';

const relayCaller = 'relay';

/** Answers a request that an entry of another failure domain relays to an engine of this one. */
export async function serveRelay(parts: CallerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const abort = new AbortController();
	response.on('close', () => {
		abort.abort();
	});
	try {
		const body = await readJson(request) as GenerateRequest;
		const upstream = findUpstream(parts, request, body.id);
		const service = findService(parts, upstream);
		const work = createWork(parts, service, body);
		const stream = new CallerStream(response, parts.timers, parts.metrics);
		const streamParts = createStreamParts(parts, {
			service, work, signal: abort.signal, onEvents: async events => stream.write(events.map(event => `id: ${event.offset}\ndata: ${JSON.stringify(event)}\n\n`).join('')),
		});
		await runProcedure(serveRelayed({request: work, prompt: body.prompt, offset: body.offset}, {upstream}, streamParts));
		stream.finish('');
		parts.metrics.count('requests', 'relayed');
	} catch (error) {
		sendRelayFailure(parts, response, error);
	}
}

/** Answers the cancelling of a relayed request. */
export async function serveRelayCancel(parts: CallerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		const {id} = await readJson(request) as {id: string};
		const upstream = findUpstream(parts, request, id);
		await parts.getEngine(upstream).cancel(id);
		sendJson(response, 200, {});
	} catch (error) {
		sendRelayFailure(parts, response, error);
	}
}

/**
Finds the upstream that a relayed request is for. Throws `BadRequestError` without the deployment's proof, and
`NotRunError` when the upstream is not of this failure domain: a request is relayed once and no further.
*/
export function findUpstream(parts: CallerParts, request: IncomingMessage, id: string): Upstream {
	const name = String(request.headers[relayHeader.upstream]);
	if (!isProofValid(request.headers[relayHeader.proof], createProof(parts.settings.secret, name, id))) {
		throw new BadRequestError('the request is not from an entry of this deployment');
	}

	const upstream = parts.getDeployment()?.upstreams.find(candidate => candidate.id === name && candidate.domain === parts.settings.domain);
	if (!upstream) {
		throw new NotRunError(`${name} is not an upstream of ${parts.settings.domain}`);
	}

	return upstream;
}

/** Sends the failure of a relayed request; only one that was not run says so, as an upstream does. */
export function sendRelayFailure(parts: CallerParts, response: ServerResponse, error: unknown): void {
	if (!response.headersSent && decideErrorAnswer(error).ran !== 'no') {
		response.setHeader(relayHeader.unknownOutcome, '1');
	}

	sendFailure(response, error, parts.metrics);
}

function findService(parts: CallerParts, upstream: Upstream): ModelService {
	const service = parts.getDeployment()?.services.find(({name}) => name === upstream.service);
	if (service?.kind !== serviceKind.model) {
		throw new NotRunError(`${upstream.id} is not an engine`);
	}

	return service;
}

function createWork(parts: CallerParts, service: ModelService, body: GenerateRequest): RoutingRequest {
	const now = parts.timers.getNow();
	return {
		id: body.id,
		caller: relayCaller,
		service: service.name,
		model: body.model,
		version: body.version,
		adapter: body.adapter,
		promptTokens: body.promptTokens,
		maxTokens: body.maxTokens,
		prefixes: [],
		priority: body.priority,
		firstTokenTargetAt: now + service.firstTokenMs,
		deadlineAt: now + service.deadlineMs,
	};
}
