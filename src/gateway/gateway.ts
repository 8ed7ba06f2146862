import type {AccessRefusal, Credential} from '../customers/index.js';
import {AdmissionQueue} from '../dispatch/index.js';
import type {EngineView, Fleet} from '../dispatch/index.js';
import {DeadlineError, refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import type {Timer} from '../timers/index.js';
import {drainingRetryAfterMs, staleRetryAfterMs} from './ending.js';
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
/** Time after a request's deadline in which whatever it waits for has to end, in milliseconds: longer than the check of whether an engine listens. */
const settleMarginMs = 300;

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
	/** Ends each request that is being served as its deadline does. */
	readonly #expireRequests = new Set<() => void>();
	/** Ends the wait for an engine of each request whose deadline comes after the end of this process. */
	readonly #drainRequests = new Set<() => void>();

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
		this.#dependencies.access?.apply(configuration.customers);
		return true;
	}

	/** Sets when this process stops: a request whose deadline is later is refused, one that waits for an engine as well as those to come. Monotonic, in milliseconds. */
	setDrainEnd(drainEndsAt: number): void {
		this.#drainEndsAt = drainEndsAt;
		for (const drain of this.#drainRequests) {
			drain();
		}
	}

	/** Ends the requests in progress as if their deadlines had passed, so that those without an answer get one before this process ends. */
	expireAll(): void {
		for (const expire of this.#expireRequests) {
			expire();
		}
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

	/**
	Decides by its API key whether a request whose header has arrived may be served: returns its credential, why it is refused, or `undefined`
	where it needs no key or can't be served anyway.
	*/
	decideAccess({host, path, key}: {readonly host: string; readonly path: string; readonly key: string | undefined}): Credential | AccessRefusal | undefined {
		const route = this.#routeTable?.findRoute(host, path);
		return !route || route.isPublic ? undefined : this.#dependencies.access?.decide(key);
	}

	/** Refuses a request whose header has arrived, by what `authorize` returned. */
	refuseAccess(answer: CallerAnswer, reason: AccessRefusal, requestId: string | undefined): void {
		this.#dependencies.reporter.onAccessRefused(reason, requestId);
		if (reason === refusalReason.unknownKey) {
			answer.refuse(401, reason, undefined);
		} else {
			answer.refuse(503, reason, staleRetryAfterMs);
		}
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
		const waitController = new AbortController();
		let overdueTimer: Timer | undefined;
		let onOverdue!: (isOverdue: true) => void;
		const overdue = new Promise<true>(resolve => {
			onOverdue = resolve;
		});
		const onAbort = () => {
			controller.abort();
			waitController.abort();
			overdueTimer ??= this.#dependencies.timers.startTimeout(settleMarginMs, () => {
				// Once an answer has begun, its caller sets the pace.
				if (!answer.isStarted) {
					onOverdue(true);
				}
			});
		};

		const deadlineTimer = this.#dependencies.timers.startTimeout(times.deadlineAt - this.#dependencies.timers.getNow(), onAbort);
		answer.signal.addEventListener('abort', onAbort, {once: true});
		this.#expireRequests.add(onAbort);
		const onDrain = () => {
			if (times.deadlineAt > this.#drainEndsAt) {
				waitController.abort();
			}
		};

		this.#drainRequests.add(onDrain);
		const served: ServedRequest = {
			request, route, service, answer, trace, fleet: this.fleet, signal: controller.signal, waitSignal: waitController.signal, model, ...times,
		};
		const procedure = model
			? serveGeneration(this.#dependencies, served)
			: servePlain(this.#dependencies, served, this.#getPlainQueue(service));
		try {
			if (await Promise.race([runProcedure(procedure), overdue])) {
				this.#finishOverdue(served);
			}
		} finally {
			this.#expireRequests.delete(onAbort);
			this.#drainRequests.delete(onDrain);
			overdueTimer?.cancel();
			deadlineTimer.cancel();
			answer.signal.removeEventListener('abort', onAbort);
		}
	}

	/** Ends a request whose wait nothing has ended: its caller gets an answer, and it no longer counts as in progress. */
	#finishOverdue({answer, trace, request}: ServedRequest): void {
		this.#dependencies.reporter.onTaskFailed('end a request in time', request.id, new DeadlineError(`The request still waits ${settleMarginMs} ms after its deadline, or after its caller has left.`));
		trace.finish(answer.signal.aborted ? 'caller_gone' : 'failed', refusalReason.deadline, 504);
		answer.refuse(504, refusalReason.deadline, undefined);
	}

	#getPlainQueue(service: string): AdmissionQueue<EngineView> {
		const queue = this.#plainQueues.get(service) ?? new AdmissionQueue<EngineView>(this.#dependencies.timers, this.#dependencies.getRandom);
		this.#plainQueues.set(service, queue);
		return queue;
	}
}
