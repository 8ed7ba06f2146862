import {AdmissionQueue} from '../dispatch/index.js';
import type {EngineView, Fleet} from '../dispatch/index.js';
import {refusalReason} from '../errors/index.js';
import {runProcedure} from '../procedures/index.js';
import {serveGeneration} from './generation.js';
import {servePlain} from './plain.js';
import type {CallerAnswer} from './ports.js';
import {chooseService, RouteTable} from './routes.js';
import type {GatewayParts, ServedRequest} from './served.js';
import {createTimes} from './times.js';
import {RequestTrace} from './trace.js';
import type {GatewayConfiguration, GatewayRequest} from './types.js';

/** Time to come back to a process that has no configuration yet, in milliseconds: a start takes about as long. */
const startingReturnMs = 500;
/** Time to come back after a process that is ending refused, in milliseconds: a new connection goes to another at once. */
const endingReturnMs = 50;

/**
Serves callers' requests by the configuration in force: finds the route, lets the request wait for a place at an engine,
sends it, and passes the answer on.

@example
```
gateway.apply(configuration);
await gateway.serve(request, answer);
```
*/
export class Gateway {
	readonly #parts: GatewayParts;
	readonly #plainLines = new Map<string, AdmissionQueue<EngineView>>();
	#configuration: GatewayConfiguration | undefined;
	#routes: RouteTable | undefined;
	#inProgress = 0;
	#endsAt = Number.POSITIVE_INFINITY;

	constructor(readonly fleet: Fleet, parts: GatewayParts) {
		this.#parts = parts;
	}

	/** The configuration in force. */
	get configuration(): GatewayConfiguration | undefined {
		return this.#configuration;
	}

	/** Requests whose answer has not ended. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Puts a configuration into force, unless the one in force is as new. Returns whether it did. */
	apply(configuration: GatewayConfiguration): boolean {
		if (this.#configuration && configuration.version <= this.#configuration.version) {
			return false;
		}

		this.#configuration = configuration;
		this.#routes = new RouteTable(configuration);
		return true;
	}

	/** Takes from now on only requests that have ended by then; monotonic, in milliseconds. */
	setEnd(endsAt: number): void {
		this.#endsAt = endsAt;
	}

	/** Lets requests of application services that wait look for places again, as when an engine was added. */
	serveWaiting(): void {
		for (const line of this.#plainLines.values()) {
			line.dispatch();
		}
	}

	/** Counts the requests of application services that wait for a place. */
	countWaiting(): number {
		let waiting = 0;
		for (const line of this.#plainLines.values()) {
			waiting += line.size;
		}

		return waiting;
	}

	/** Answers one request; never throws. */
	async serve(request: GatewayRequest, answer: CallerAnswer): Promise<void> {
		this.#inProgress++;
		const trace = new RequestTrace(request, this.#parts.timers);
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
			this.#parts.report.onEnd(trace);
		}
	}

	async #serveRouted(request: GatewayRequest, answer: CallerAnswer, trace: RequestTrace): Promise<void> {
		if (!this.#configuration || !this.#routes) {
			trace.finish('refused', refusalReason.noConfiguration);
			answer.refuse(503, refusalReason.noConfiguration, startingReturnMs);
			return;
		}

		const route = this.#routes.findRoute(request.host, request.path);
		const service = route && chooseService(route, this.#parts.pickUnit());
		trace.onRoute(this.#configuration.version, route, service);
		if (!route || service === undefined) {
			trace.finish('refused', refusalReason.noRoute);
			answer.refuse(404, refusalReason.noRoute, undefined);
			return;
		}

		this.#parts.budget.countRequest(service);
		const model = this.#configuration.services.get(service)?.model;
		const times = createTimes(request, route);
		if (times.deadlineAt > this.#endsAt) {
			trace.finish('refused', refusalReason.draining);
			answer.refuse(503, refusalReason.draining, endingReturnMs);
			return;
		}

		const controller = new AbortController();
		const onEnd = () => {
			controller.abort();
		};

		const deadline = this.#parts.timers.startTimer(times.deadlineAt - this.#parts.timers.getNow(), onEnd);
		answer.signal.addEventListener('abort', onEnd, {once: true});
		const served: ServedRequest = {
			request, route, service, answer, trace, fleet: this.fleet, signal: controller.signal, engineTokens: model?.memoryTokens ?? 0, ...times,
		};
		try {
			await runProcedure(model
				? serveGeneration(this.#parts, served)
				: servePlain(this.#parts, served, this.#getPlainLine(service)));
		} finally {
			deadline.cancel();
			answer.signal.removeEventListener('abort', onEnd);
		}
	}

	#getPlainLine(service: string): AdmissionQueue<EngineView> {
		const line = this.#plainLines.get(service) ?? new AdmissionQueue<EngineView>(this.#parts.timers, this.#parts.pickUnit);
		this.#plainLines.set(service, line);
		return line;
	}
}
