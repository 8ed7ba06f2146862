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
import type {CallerDependencies} from './callerdependencies.js';
import {CallerStream} from './callerstream.js';
import {readJson, sendFailure, sendJson} from './http.js';
import {createStreamDependencies} from './placements.js';

const relayCaller = 'relay';

/** Handles a generation that an entry of another failure domain relays to an engine of this one. */
export async function serveRelay(dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const controller = new AbortController();
	response.on('close', () => {
		controller.abort();
	});
	try {
		const body = await readJson(request) as GenerateRequest;
		const upstream = findUpstream(dependencies, request, body.id);
		const service = findService(dependencies, upstream);
		const routingRequest = createRoutingRequest(dependencies, service, body);
		const stream = new CallerStream(response, dependencies.timers, dependencies.metrics);
		const streamDependencies = createStreamDependencies(dependencies, {
			service, routingRequest, signal: controller.signal, onEvents: async events => stream.write(events.map(event => `id: ${event.offset}\ndata: ${JSON.stringify(event)}\n\n`).join('')),
		});
		await runProcedure(serveRelayed({request: routingRequest, prompt: body.prompt, offset: body.offset}, {upstream}, streamDependencies));
		stream.finish('');
		dependencies.metrics.count('requests', 'relayed');
	} catch (error) {
		sendRelayFailure(dependencies, response, error);
	}
}

/** Handles the cancellation of a relayed request. */
export async function serveRelayCancel(dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		const {id} = await readJson(request) as {id: string};
		const upstream = findUpstream(dependencies, request, id);
		await dependencies.getEngine(upstream).cancel(id);
		sendJson(response, 200, {});
	} catch (error) {
		sendRelayFailure(dependencies, response, error);
	}
}

/**
Finds the upstream that a relayed request is for. Throws `BadRequestError` when the proof that an entry of this deployment
sent it is missing or wrong, and `NotRunError` when the upstream is not in this failure domain: a request is relayed only once.
*/
export function findUpstream(dependencies: CallerDependencies, request: IncomingMessage, id: string): Upstream {
	const upstreamId = String(request.headers[relayHeader.upstream]);
	if (!isProofValid(request.headers[relayHeader.proof], createProof(dependencies.settings.secret, upstreamId, id))) {
		throw new BadRequestError('the request is not from an entry of this deployment');
	}

	const upstream = dependencies.getDeployment()?.upstreams.find(candidate => candidate.id === upstreamId && candidate.domain === dependencies.settings.domain);
	if (!upstream) {
		throw new NotRunError(`${upstreamId} is not an upstream of ${dependencies.settings.domain}`);
	}

	return upstream;
}

/** Sends the failure of a relayed request. Marks the outcome as unknown unless the request was certainly not run. */
export function sendRelayFailure(dependencies: CallerDependencies, response: ServerResponse, error: unknown): void {
	if (!response.headersSent && decideErrorAnswer(error).ran !== 'no') {
		response.setHeader(relayHeader.unknownOutcome, '1');
	}

	sendFailure(response, error, dependencies.metrics);
}

function findService(dependencies: CallerDependencies, upstream: Upstream): ModelService {
	const service = dependencies.getDeployment()?.services.find(({name}) => name === upstream.service);
	if (service?.kind !== serviceKind.model) {
		throw new NotRunError(`${upstream.id} is not an engine`);
	}

	return service;
}

function createRoutingRequest(dependencies: CallerDependencies, service: ModelService, body: GenerateRequest): RoutingRequest {
	const now = dependencies.timers.getNow();
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
