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
import type {CallerDependencies} from './callerdependencies.js';
import {readBody} from './http.js';
import {findUpstream, sendRelayFailure} from './relay.js';

/** Handles a call that an entry of another failure domain relays to an instance of this one. It is not relayed again. */
export async function serveRelayedCall(dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const controller = new AbortController();
	response.on('close', () => {
		controller.abort();
	});
	try {
		const id = String(request.headers[upstreamHeader.requestId]);
		const upstream = findUpstream(dependencies, request, id);
		const job = createJob(dependencies, upstream, {request, id, body: await readBody(request)});
		const callDependencies: CallDependencies = {
			router: dependencies.router, timers: dependencies.timers, metrics: dependencies.metrics, getClient: dependencies.getService, signal: controller.signal,
		};
		sendAnswer(response, id, await sendCall(job, upstream, callDependencies));
		dependencies.metrics.count('requests', 'relayed');
	} catch (error) {
		sendRelayFailure(dependencies, response, error);
	}
}

async function sendCall(job: CallJob, upstream: Upstream, dependencies: CallDependencies): Promise<WholeAnswer> {
	if (job.call.isRepeatable) {
		return sendRepeatable(job, upstream, dependencies);
	}

	const {answer} = await runProcedure(sendOnce(job, upstream, {dependencies, onSend: () => undefined}));
	return answer;
}

type RelayedCall = {readonly request: IncomingMessage; readonly id: string; readonly body: Uint8Array};

function createJob(dependencies: CallerDependencies, upstream: Upstream, {request, id, body}: RelayedCall): CallJob {
	const service = dependencies.getDeployment()?.services.find(({name}) => name === upstream.service);
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
		deadlineAt: dependencies.timers.getNow() + service.deadlineMs,
	};
}
