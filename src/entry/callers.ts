import type {Server, IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import type {Polka} from 'polka';
import {serviceKind} from '../deployment/index.js';
import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import {createModelList, relayPath, RequestIds} from '../serving/index.js';
import {Claims} from '../claims/index.js';
import {upstreamHeader} from '../upstreams/index.js';
import type {ServiceClient} from '../upstreams/index.js';
import {serveCall} from './calls.js';
import {serveChat} from './chat.js';
import {sendFailure, sendJson} from './http.js';
import type {CallerDependencies} from './callerdependencies.js';
import type {EntryDependencies} from './dependencies.js';
import {serveRelay, serveRelayCancel} from './relay.js';
import {serveRelayedCall} from './relaycalls.js';
import {ServiceClients} from './serviceclients.js';
import {GracefulStop, stopPhase} from './stop.js';

/** Most requests in progress in one process. */
const maxRequestsInProgress = 10_000;
const refusalRetryAfterMs = 1000;
const closeIdleIntervalMs = 200;
/** At a stop: longest wait for the store to take the ends of claims, in milliseconds. */
const claimsFinishTimeoutMs = 10_000;

type RequestHandler = (dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Puts together the callers' side. */
export function createCallerDependencies(dependencies: EntryDependencies): CallerDependencies {
	const {timers, history, store, metrics, settings} = dependencies;
	const getRandom = () => Math.random();
	const services = new ServiceClients(dependencies, getRandom);
	const claims = new Claims({
		store, timers, metrics, pick: getRandom,
	});
	const stop = new GracefulStop({timers, history, balancerWaitMs: settings.balancerWaitMs});
	stop.addShutdownTask({
		name: 'settle the claims',
		async run() {
			const unwrittenCount = await claims.finish(claimsFinishTimeoutMs);
			history.record({subject: 'process', kind: 'claims', detail: `${unwrittenCount} ends of claims not written; they are reported as unknown`});
		},
	});
	return {
		...dependencies, ids: new RequestIds(settings.secret), stop, claims, getRandom, getService: upstream => services.get(upstream),
	};
}

/** Adds the paths that callers, the balancer and relaying entries use. */
export function addCallerRoutes(app: Polka, dependencies: CallerDependencies): void {
	app.get('/healthz', (_request, response) => {
		sendJson(response, 200, {vm: dependencies.settings.vm, phase: dependencies.stop.phase});
	});
	app.get('/readyz', (_request, response) => {
		const isReady = dependencies.stop.phase === stopPhase.serving && dependencies.getDeployment() !== undefined;
		sendJson(response, isReady ? 200 : 503, {isReady, phase: dependencies.stop.phase});
	});
	app.get('/metrics', async (_request, response) => {
		response.writeHead(200, {'content-type': dependencies.metrics.registry.contentType});
		response.end(await dependencies.metrics.format());
	});
	app.get('/v1/models', (_request, response) => {
		sendJson(response, 200, createModelList(listModels(dependencies), 0));
	});
	app.post('/v1/chat/completions', wrapRequest(dependencies, 'chat', serveChat));
	app.use('/services', wrapRequest(dependencies, 'call', serveCall));
	app.use(relayPath.services, wrapRequest(dependencies, 'relayed call', serveRelayedCall));
	app.post(relayPath.generate, wrapRequest(dependencies, 'relay', serveRelay));
	app.post(relayPath.cancel, wrapRequest(dependencies, 'relay cancel', serveRelayCancel));
}

/** Sets the server's timeouts on purpose; each of Node's own defaults would cut somebody. */
export function setServerTimeouts(server: Server): void {
	// Bounds the taking in of a request, not its answer: 8 MB over a slow line, and no slow sender holds a socket for ever.
	server.requestTimeout = 120_000;
	// Headers fit into a few packets.
	server.headersTimeout = 15_000;
	// Longer than a balancer's usual 60 s, so that it never sends into a connection that is being closed here.
	server.keepAliveTimeout = 75_000;
	// An answer may stay silent for as long as a long prompt is read; serving bounds that by the deadline.
	server.timeout = 0;
}

/** Stops gracefully at SIGTERM and SIGINT: at the end the server closes. */
export function subscribeSignals(dependencies: CallerDependencies, server: Server): void {
	dependencies.stop.addShutdownTask({
		name: 'close the server',
		async run() {
			// A balancer's kept connections become idle one by one.
			const timer = dependencies.timers.startInterval(closeIdleIntervalMs, () => {
				server.closeIdleConnections();
			});
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
			timer.cancel();
		},
	});
	const onSignal = () => {
		void dependencies.stop.onSignal();
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}

/** Counts a request as in progress until its work has ended and its answer is flushed; refuses it when there is no room. */
function wrapRequest(dependencies: CallerDependencies, kind: string, serve: RequestHandler) {
	return async (request: IncomingMessage, response: ServerResponse) => {
		const id = request.headers[upstreamHeader.requestId];
		if (id !== undefined) {
			response.setHeader(upstreamHeader.requestId, id);
		}

		if (!dependencies.stop.isAccepting) {
			refuse(dependencies, response, refusalReason.draining);
			return;
		}

		if (dependencies.stop.countInProgress() >= maxRequestsInProgress) {
			refuse(dependencies, response, refusalReason.queueFull);
			return;
		}

		const finish = dependencies.stop.startRequest(kind);
		// A call that may not be repeated goes on after its caller has left; an answer is out only when it is flushed.
		const closed = new Promise<void>(resolve => {
			response.on('close', resolve);
		});
		try {
			await serve(dependencies, request, response);
			await closed;
		} finally {
			finish();
		}
	};
}

function refuse(dependencies: CallerDependencies, response: ServerResponse, reason: 'draining' | 'queue_full'): void {
	sendFailure(response, new NotRunError(`this entry takes no new request: ${reason}`, {props: {reason, retryAfterMs: refusalRetryAfterMs}}), dependencies.metrics);
}

function listModels(dependencies: CallerDependencies): string[] {
	const services = dependencies.getDeployment()?.services ?? [];
	return services.flatMap(service => service.kind === serviceKind.model
		? [service.model, ...service.adapters.map(adapter => `${service.model}:${adapter}`)]
		: []);
}
