import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Upstream} from '../deployment/index.js';
import {NotRunError} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import {
	relayHeader, selectForwardedHeaders, sendOnce, sendRepeatable,
} from '../serving/index.js';
import type {CallJob, CallDependencies, WholeAnswer} from '../serving/index.js';
import {upstreamHeader} from '../upstreams/index.js';
import {sendAnswer} from './calls.js';
import type {CallerParts} from './callerparts.js';
import {readBody} from './http.js';
import {findUpstream, sendRelayFailure} from './relay.js';

/** Answers a call that an entry of another failure domain relays to an instance of this one; it goes no further. */
export async function serveRelayedCall(parts: CallerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const abort = new AbortController();
	response.on('close', () => {
		abort.abort();
	});
	try {
		const id = String(request.headers[upstreamHeader.requestId]);
		const upstream = findUpstream(parts, request, id);
		const job = createJob(parts, upstream, {request, id, body: await readBody(request)});
		const callParts: CallDependencies = {
			router: parts.router, timers: parts.timers, metrics: parts.metrics, getClient: parts.getService, signal: abort.signal,
		};
		sendAnswer(response, id, await sendCall(job, upstream, callParts));
		parts.metrics.count('requests', 'relayed');
	} catch (error) {
		sendRelayFailure(parts, response, error);
	}
}

async function sendCall(job: CallJob, upstream: Upstream, parts: CallDependencies): Promise<WholeAnswer> {
	if (job.call.isRepeatable) {
		return sendRepeatable(job, upstream, parts);
	}

	const {answer} = await runProcedure(sendOnce(job, upstream, {dependencies: parts, onSend: () => undefined}));
	return answer;
}

type RelayedCall = {readonly request: IncomingMessage; readonly id: string; readonly body: Uint8Array};

function createJob(parts: CallerParts, upstream: Upstream, {request, id, body}: RelayedCall): CallJob {
	const service = parts.getDeployment()?.services.find(({name}) => name === upstream.service);
	if (!service) {
		throw new NotRunError(`${upstream.service} is not in the configuration`);
	}

	return {
		service: service.name,
		call: {
			id,
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: selectForwardedHeaders(request.headers),
			body,
			isRepeatable: request.headers[relayHeader.nonRepeatable] === undefined,
		},
		deadlineAt: parts.timers.getNow() + service.deadlineMs,
	};
}
