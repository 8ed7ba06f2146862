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
import type {CallerParts} from './callerparts.js';
import {readBody, sendFailure} from './http.js';

const keyHeader = 'idempotency-key';
const maxKeyLength = 255;

/** Answers `/services/<name>/<path>`, any method; `request.url` is what follows `/services`. */
export async function serveCall(parts: CallerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const abort = new AbortController();
	response.on('close', () => {
		abort.abort();
	});
	try {
		const headers = parseHeaders(request.headers);
		const {service, path} = findService(parts, request.url ?? '');
		parts.router.checkCall(service.name, headers.caller);
		const job = createJob(parts, service, {
			request, headers, path, body: await readBody(request),
		});
		const outcome = await runProcedure(createProcedure(parts, job, {request, headers, signal: abort.signal}));
		if (outcome.kind !== callOutcome.done) {
			throw outcome.error;
		}

		sendAnswer(response, job.call.id, outcome.answer);
		parts.metrics.count('requests', 'done');
	} catch (error) {
		sendFailure(response, error, parts.metrics);
	}
}

/** Sends a whole answer of a service. */
export function sendAnswer(response: ServerResponse, id: string, answer: WholeAnswer): void {
	response.writeHead(answer.status, {...selectForwardedHeaders(answer.headers), [upstreamHeader.requestId]: id, 'content-length': answer.body.length});
	response.end(answer.body);
}

type Asked = {readonly request: IncomingMessage; readonly headers: CallHeaders; readonly signal: AbortSignal};

function createProcedure(parts: CallerParts, job: CallJob, {request, headers, signal}: Asked): Procedure<CallOutcome> {
	const callParts: CallDependencies = {
		router: parts.router, timers: parts.timers, metrics: parts.metrics, getClient: parts.getService, signal,
	};
	if (job.call.isRepeatable) {
		return serveRepeatable(job, callParts);
	}

	const key = parseKey(request);
	return key === undefined ? serveOnce(job, callParts) : serveKeyed({...job, caller: headers.caller, key}, {...callParts, claims: parts.claims});
}

function parseKey(request: IncomingMessage): string | undefined {
	const key = request.headers[keyHeader];
	if (key === undefined) {
		return undefined;
	}

	if (typeof key !== 'string' || key === '' || key.length > maxKeyLength) {
		const allowed = `one key of 1 to ${maxKeyLength} characters`;
		throw new BadRequestError(`headers.${keyHeader}: allowed: ${allowed}`, {
			props: {
				problems: [{
					path: `headers.${keyHeader}`, line: 0, found: String(key).slice(0, 40), allowed,
				}],
			},
		});
	}

	return key;
}

function findService(parts: CallerParts, url: string): {readonly service: ApplicationService; readonly path: string} {
	const deployment = parts.getDeployment();
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

type CallSource = {readonly request: IncomingMessage; readonly headers: CallHeaders; readonly path: string; readonly body: Uint8Array};

function createJob(parts: CallerParts, service: ApplicationService, {request, headers, path, body}: CallSource): CallJob {
	const method = request.method ?? 'GET';
	const call = {
		id: randomUUID(), method, path, headers: selectForwardedHeaders(request.headers), body, isRepeatable: isRepeatable(service, method, path),
	};
	const deadlineMs = Math.min(headers.deadlineMs ?? service.deadlineMs, service.deadlineMs);
	return {service: service.name, call, deadlineAt: parts.timers.getNow() + deadlineMs};
}
