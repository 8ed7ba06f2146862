import {AdmissionQueue} from '../dispatch/index.js';
import type {EngineView, Fleet} from '../dispatch/index.js';
import {refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import {serveGeneration} from './generation.js';
import {servePlain} from './plain.js';
import type {CallerAnswer} from './ports.js';
import {chooseService, RouteTable} from './routes.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {createTimes} from './times.js';
import {RequestTrace} from './trace.js';
import type {GatewayConfiguration, GatewayRequest} from './types.js';

/** Time after which to retry at a process that has no configuration yet, in milliseconds: about as long as a start takes. */
const startingRetryAfterMs = 500;
/** Time after which to retry when a process that is stopping refused, in milliseconds: short, since a new connection goes to another process at once. */
const drainingRetryAfterMs = 50;

/**
Serves callers' requests by the configuration in force: finds the route, waits until an engine can take the request,
sends it, and relays the answer.

@example
```
gateway.apply(configuration);
await gateway.serve(request, answer);
```
*/
export class Gateway {
	readonly #dependencies: GatewayDependencies;
	readonly #plainQueues = new Map<string, AdmissionQueue<EngineView>>();
	#configuration: GatewayConfiguration | undefined;
	#routeTable: RouteTable | undefined;
	#inProgress = 0;
	#drainEndsAt = Number.POSITIVE_INFINITY;

	constructor(readonly fleet: Fleet, dependencies: GatewayDependencies) {
		this.#dependencies = dependencies;
	}

	/** The configuration in force. */
	get configuration(): GatewayConfiguration | undefined {
		return this.#configuration;
	}

	/** Number of requests whose answer has not ended. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Puts a configuration into force unless its version is not higher than that of the one in force. Returns whether it did. */
	apply(configuration: GatewayConfiguration): boolean {
		if (this.#configuration && configuration.version <= this.#configuration.version) {
			return false;
		}

		this.#configuration = configuration;
		this.#routeTable = new RouteTable(configuration);
		return true;
	}

	/** Sets when this process stops: from now on, a request whose deadline is later is refused. Monotonic, in milliseconds. */
	setDrainEnd(drainEndsAt: number): void {
		this.#drainEndsAt = drainEndsAt;
	}

	/** Lets queued requests of application services choose an engine again, for example after an engine was added. */
	serveQueues(): void {
		for (const queue of this.#plainQueues.values()) {
			queue.dispatch();
		}
	}

	/** Counts the queued requests of application services. */
	countQueued(): number {
		let count = 0;
		for (const queue of this.#plainQueues.values()) {
			count += queue.size;
		}

		return count;
	}

	/** Serves one request; never throws. */
	async serve(request: GatewayRequest, answer: CallerAnswer): Promise<void> {
		this.#inProgress++;
		const trace = new RequestTrace(request, this.#dependencies.timers);
		try {
			await this.#serveRouted(request, answer, trace);
		} catch (error) {
			trace.onError(error);
			if (answer.isStarted) {
				answer.abort();
			} else {
				answer.refuse(502, refusalReason.upstreamFailed, undefined);
			}
		} finally {
			this.#inProgress--;
			this.#dependencies.reporter.onEnd(trace);
		}
	}

	async #serveRouted(request: GatewayRequest, answer: CallerAnswer, trace: RequestTrace): Promise<void> {
		if (!this.#configuration || !this.#routeTable) {
			trace.finish('refused', refusalReason.noConfiguration);
			answer.refuse(503, refusalReason.noConfiguration, startingRetryAfterMs);
			return;
		}

		const route = this.#routeTable.findRoute(request.host, request.path);
		const service = route && chooseService(route, this.#dependencies.getRandom());
		trace.onRoute(this.#configuration.version, route, service);
		if (!route || service === undefined) {
			trace.finish('refused', refusalReason.noRoute);
			answer.refuse(404, refusalReason.noRoute, undefined);
			return;
		}

		this.#dependencies.retryBudget.countRequest(service);
		const model = this.#configuration.services.get(service)?.model;
		const times = createTimes(request, route);
		if (times.deadlineAt > this.#drainEndsAt) {
			trace.finish('refused', refusalReason.draining);
			answer.refuse(503, refusalReason.draining, drainingRetryAfterMs);
			return;
		}

		const controller = new AbortController();
		const onAbort = () => {
			controller.abort();
		};

		const deadlineTimer = this.#dependencies.timers.startTimeout(times.deadlineAt - this.#dependencies.timers.getNow(), onAbort);
		answer.signal.addEventListener('abort', onAbort, {once: true});
		const served: ServedRequest = {
			request, route, service, answer, trace, fleet: this.fleet, signal: controller.signal, model, ...times,
		};
		try {
			await runProcedure(model
				? serveGeneration(this.#dependencies, served)
				: servePlain(this.#dependencies, served, this.#getPlainQueue(service)));
		} finally {
			deadlineTimer.cancel();
			answer.signal.removeEventListener('abort', onAbort);
		}
	}

	#getPlainQueue(service: string): AdmissionQueue<EngineView> {
		const queue = this.#plainQueues.get(service) ?? new AdmissionQueue<EngineView>(this.#dependencies.timers, this.#dependencies.getRandom);
		this.#plainQueues.set(service, queue);
		return queue;
	}
}
