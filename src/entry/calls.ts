import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {serviceKind} from '../deployment/index.js';
import type {ApplicationService} from '../deployment/index.js';
import {BadRequestError, NotRunError, refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {
	callOutcome, isRepeatable, parseHeaders, selectForwardedHeaders, serveKeyed, serveOnce, serveRepeatable,
} from '../serving/index.js';
import type {
	CallHeaders, CallJob, CallOutcome, CallDependencies, WholeAnswer,
} from '../serving/index.js';
import {upstreamHeader} from '../upstreams/index.js';
import type {CallerDependencies} from './callerdependencies.js';
import {readBody, sendFailure} from './http.js';

const idempotencyKeyHeader = 'idempotency-key';
const maxKeyLength = 255;

/** Handles a call to an application service, `/services/<name>/<path>` with any method; `request.url` holds only what follows `/services`. */
export async function serveCall(dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const controller = new AbortController();
	response.on('close', () => {
		controller.abort();
	});
	try {
		const headers = parseHeaders(request.headers);
		const {service, path} = findService(dependencies, request.url ?? '');
		dependencies.router.checkCall(service.name, headers.caller);
		const job = createJob(dependencies, service, {
			request, headers, path, body: await readBody(request),
		});
		const outcome = await runProcedure(createProcedure(dependencies, job, {request, headers, signal: controller.signal}));
		if (outcome.kind !== callOutcome.done) {
			throw outcome.error;
		}

		sendAnswer(response, job.call.id, outcome.answer);
		dependencies.metrics.count('requests', 'done');
	} catch (error) {
		sendFailure(response, error, dependencies.metrics);
	}
}

/** Sends the complete answer of an application service, with the request's id in a header. */
export function sendAnswer(response: ServerResponse, id: string, answer: WholeAnswer): void {
	response.writeHead(answer.status, {...selectForwardedHeaders(answer.headers), [upstreamHeader.requestId]: id, 'content-length': answer.body.length});
	response.end(answer.body);
}

type CallContext = {readonly request: IncomingMessage; readonly headers: CallHeaders; readonly signal: AbortSignal};

function createProcedure(dependencies: CallerDependencies, job: CallJob, {request, headers, signal}: CallContext): Procedure<CallOutcome> {
	const callDependencies: CallDependencies = {
		router: dependencies.router, timers: dependencies.timers, metrics: dependencies.metrics, getClient: dependencies.getService, signal,
	};
	if (job.call.isRepeatable) {
		return serveRepeatable(job, callDependencies);
	}

	const key = parseKey(request);
	return key === undefined ? serveOnce(job, callDependencies) : serveKeyed({...job, caller: headers.caller, key}, {...callDependencies, claims: dependencies.claims});
}

function parseKey(request: IncomingMessage): string | undefined {
	const key = request.headers[idempotencyKeyHeader];
	if (key === undefined) {
		return undefined;
	}

	if (typeof key !== 'string' || key === '' || key.length > maxKeyLength) {
		const allowed = `one key of 1 to ${maxKeyLength} characters`;
		throw new BadRequestError(`headers.${idempotencyKeyHeader}: allowed: ${allowed}`, {
			props: {
				problems: [{
					path: `headers.${idempotencyKeyHeader}`, line: 0, found: String(key).slice(0, 40), allowed,
				}],
			},
		});
	}

	return key;
}

function findService(dependencies: CallerDependencies, url: string): {readonly service: ApplicationService; readonly path: string} {
	const deployment = dependencies.getDeployment();
	if (!deployment) {
		throw new NotRunError('no configuration is known yet', {props: {reason: refusalReason.noConfiguration}});
	}

	const [, name = '', rest = ''] = /^\/(?<name>[^\/?]+)(?<rest>.*)$/v.exec(url) ?? [];
	const service = deployment.services.find(candidate => candidate.name === name);
	if (service?.kind !== serviceKind.application) {
		throw new NotRunError(`there is no application service ${name}`, {props: {reason: refusalReason.unknownModel}});
	}

	return {service, path: rest.startsWith('/') ? rest : `/${rest}`};
}

type CallInput = {readonly request: IncomingMessage; readonly headers: CallHeaders; readonly path: string; readonly body: Uint8Array};

function createJob(dependencies: CallerDependencies, service: ApplicationService, {request, headers, path, body}: CallInput): CallJob {
	const method = request.method ?? 'GET';
	const call = {
		id: randomUUID(), method, path, headers: selectForwardedHeaders(request.headers), body, isRepeatable: isRepeatable(service, method, path),
	};
	const deadlineMs = Math.min(headers.deadlineMs ?? service.deadlineMs, service.deadlineMs);
	return {service: service.name, call, deadlineAt: dependencies.timers.getNow() + deadlineMs};
}
