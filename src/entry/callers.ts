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
import {Readiness} from './readiness.js';
import {serveRelay, serveRelayCancel} from './relay.js';
import {serveRelayedCall} from './relaycalls.js';
import {ServiceClients} from './serviceclients.js';
import {GracefulStop, stopPhase} from './stop.js';

/** Maximum number of requests in progress in this process; further ones are refused. */
const maxRequestsInProgress = 10_000;
/** Time to come back that a refusal carries, in milliseconds. */
const refusalRetryAfterMs = 1000;
/** Interval at which idle connections are closed during a stop, in milliseconds. */
const closeIdleIntervalMs = 200;
/** Maximum time that a stop waits until the ends of all claims are written to the store, in milliseconds. */
const claimsFinishTimeoutMs = 10_000;

type RequestHandler = (dependencies: CallerDependencies, request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Creates what the handlers of callers' requests need, and adds the shutdown task that finishes the claims. */
export function createCallerDependencies(dependencies: EntryDependencies): CallerDependencies {
	const {timers, history, store, metrics, settings} = dependencies;
	const getRandom = () => Math.random();
	const services = new ServiceClients(dependencies, getRandom);
	const claims = new Claims({
		store, timers, metrics, getRandom,
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

/** Adds the routes for callers, the balancer and entries that relay requests to this one. */
export function addCallerRoutes(app: Polka, dependencies: CallerDependencies): void {
	const readiness = new Readiness(dependencies);
	app.get('/healthz', (_request, response) => {
		sendJson(response, 200, {vm: dependencies.settings.vm, phase: dependencies.stop.phase});
	});
	app.get('/readyz', (_request, response) => {
		const {isReady: hasUpstreams, lacking} = readiness.check();
		const isReady = dependencies.stop.phase === stopPhase.serving && hasUpstreams;
		sendJson(response, isReady ? 200 : 503, {isReady, phase: dependencies.stop.phase, lacking});
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

/** Sets the server's timeouts, as each of Node's defaults would cut off legitimate requests or connections. */
export function setServerTimeouts(server: Server): void {
	// Limits how long a request may take to arrive, not its answer: enough for 8 MB over a slow line, but a slow sender can't hold a socket forever.
	server.requestTimeout = 120_000;
	// Headers fit into a few packets, so they arrive fast.
	server.headersTimeout = 15_000;
	// Longer than the usual 60 s of a balancer, so that the balancer never sends a request on a connection that is being closed here.
	server.keepAliveTimeout = 75_000;
	// No timeout: nothing is sent during the prefill of a long prompt. Serving limits that time by the request's deadline.
	server.timeout = 0;
}

/** Starts a graceful stop at SIGTERM and SIGINT, and adds the shutdown task that closes the server. */
export function subscribeSignals(dependencies: CallerDependencies, server: Server): void {
	dependencies.stop.addShutdownTask({
		name: 'close the server',
		async run() {
			// Connections that the balancer keeps alive become idle one by one.
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

/**
Wraps a handler so that its request counts as in progress until the handler has finished and the response is closed.
Refuses the request when the entry is draining or at `maxRequestsInProgress`.
*/
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
		// Waits for both: a call that may not be repeated continues after its caller has left, and an answer is sent only when it is flushed.
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
