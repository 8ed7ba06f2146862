import type {EngineRole} from '../deployment/index.js';
import {LinearFit} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {LatencyCorrection} from './correction.js';
import type {LatencyEstimate} from './latency.js';
import type {HealthTable} from './health.js';
import type {EngineEstimate, InFlightRequest} from './engineestimate.js';
import type {SpeedTable} from './speeds.js';
import type {Placement, RoutingRequest} from './types.js';

/** A first token is slow if it takes longer than this many times the expected time plus `slowFirstTokenMs`. */
const slowFirstTokenFactor = 4;
/** See `slowFirstTokenFactor`, in milliseconds. */
const slowFirstTokenMs = 1000;
/** Minimum number of tokens of an answer from which the time between tokens is learned. */
const minTokensForInterval = 4;
/** Expected length of an answer as a share of `maxTokens`, until the first answer of a service has ended. */
const defaultOutputShare = 0.5;
/** Share of their weight that earlier observations keep with each new one. */
const decayFactor = 0.98;
/** Assumed time to transfer a KV cache by its tokens, in milliseconds, until `minTransfers` were observed. */
const defaultTransfer: LinearModel = {intercept: 10, slope: 0.03};
const minTransfers = 5;

/** What the table of requests in progress uses. */
export type InFlightDependencies = {
	readonly timers: TimerService;
	readonly speeds: SpeedTable;
	readonly health: HealthTable;
	readonly getEngineEstimate: (upstream: string) => EngineEstimate;
	readonly getRole: (upstream: string) => EngineRole;
	readonly countEntries: () => number;
};

/** This entry's requests in progress. Each one's timing updates the speeds, health and estimates of its engines. */
export class InFlightTable {
	readonly #dependencies: InFlightDependencies;
	readonly #requests = new Map<string, InFlightRequest>();
	readonly #outputShares = new Map<string, number>();
	readonly #corrections = new Map<string, LatencyCorrection>();
	readonly #transfer = new LinearFit(decayFactor);

	constructor(dependencies: InFlightDependencies) {
		this.#dependencies = dependencies;
	}

	/** Number of requests in progress. */
	get size(): number {
		return this.#requests.size;
	}

	/** Estimates the number of tokens of an answer. */
	estimateOutputTokens(request: RoutingRequest): number {
		return Math.max(1, request.maxTokens * (this.#outputShares.get(request.service) ?? defaultOutputShare));
	}

	/** Adds a request that was sent; `latency` is what the placement was chosen by, if known. */
	add(request: RoutingRequest, placement: Placement, latency: LatencyEstimate | undefined): void {
		const now = this.#dependencies.timers.getNow();
		const engineEstimate = this.#dependencies.getEngineEstimate(placement.upstream.id);
		const inFlightRequest: InFlightRequest = {
			request,
			placement,
			sentAt: now,
			prefillTokens: latency?.prefillTokens ?? request.promptTokens,
			backlogTokens: Math.max(0, latency?.backlog.prefillTokens ?? 0),
			backlogRequests: latency?.backlog.requestCount ?? engineEstimate.inFlightCount,
			localBacklogTokens: engineEstimate.pendingTokens,
			decodeCountAtFirstToken: 0,
			expectedFirstTokenMs: latency?.firstTokenMs ?? Number.POSITIVE_INFINITY,
			expectedEndMs: latency?.endMs ?? Number.POSITIVE_INFINITY,
			expectedPrefillMs: latency?.unloadedFirstTokenMs ?? 0,
			lastTokenAt: now,
			receivedTokens: 0,
		};
		const key = this.#getKey(request, placement);
		this.#removeKey(key, now);
		this.#requests.set(key, inFlightRequest);
		engineEstimate.add(inFlightRequest);
		if (placement.prefillEngine) {
			this.#dependencies.getEngineEstimate(placement.prefillEngine.id).add(inFlightRequest);
		}
	}

	/** Records `count` received tokens of an answer. */
	onTokens(request: RoutingRequest, placement: Placement, count: number): void {
		const inFlightRequest = this.#requests.get(this.#getKey(request, placement));
		if (!inFlightRequest) {
			return;
		}

		const now = this.#dependencies.timers.getNow();
		inFlightRequest.receivedTokens += count;
		inFlightRequest.lastTokenAt = now;
		if (inFlightRequest.firstTokenAt === undefined) {
			inFlightRequest.firstTokenAt = now;
			inFlightRequest.decodeCountAtFirstToken = this.#computeDecodeCount(placement.upstream.id);
			this.#onFirstToken(inFlightRequest, now - inFlightRequest.sentAt);
		}
	}

	/** Removes a request that ended; if it was answered completely, its length and duration update the estimates. */
	remove(request: RoutingRequest, placement: Placement, isDone: boolean): void {
		const key = this.#getKey(request, placement);
		if (this.#requests.get(key)?.placement !== placement) {
			// A later attempt at the same engine has taken its place.
			return;
		}

		const decodeCountAtEnd = this.#computeDecodeCount(placement.upstream.id);
		const inFlightRequest = this.#removeKey(key, this.#dependencies.timers.getNow());
		if (inFlightRequest && isDone) {
			this.#onDone(inFlightRequest, decodeCountAtEnd);
		}
	}

	/** Computes the factor by which answers of a service take longer than estimated. */
	computeCorrection(service: string): number {
		return this.#corrections.get(service)?.computeFactor(this.#dependencies.timers.getNow()) ?? 1;
	}

	/** Estimates the time to transfer the KV cache of `tokens` tokens, in milliseconds. */
	estimateTransferMs(tokens: number): number {
		const model = this.#transfer.count < minTransfers ? defaultTransfer : this.#transfer.computeModel() ?? {intercept: this.#transfer.getMeans().y, slope: 0};
		return model.intercept + (model.slope * tokens);
	}

	#removeKey(key: string, now: number): InFlightRequest | undefined {
		const inFlightRequest = this.#requests.get(key);
		if (!inFlightRequest) {
			return undefined;
		}

		this.#requests.delete(key);
		const {upstream, prefillEngine} = inFlightRequest.placement;
		this.#dependencies.getEngineEstimate(upstream.id).remove(inFlightRequest, now);
		if (prefillEngine) {
			this.#dependencies.getEngineEstimate(prefillEngine.id).remove(inFlightRequest, now);
		}

		return inFlightRequest;
	}

	#onFirstToken(inFlightRequest: InFlightRequest, waitMs: number): void {
		const {request, placement: {upstream, prefillEngine, relayAddress}} = inFlightRequest;
		this.#dependencies.health.onFirstToken(upstream.id, waitMs > (inFlightRequest.expectedFirstTokenMs * slowFirstTokenFactor) + slowFirstTokenMs);
		if (prefillEngine === undefined && relayAddress === undefined) {
			this.#dependencies.speeds.onFirstToken(request.service, upstream.id, this.#dependencies.getRole(upstream.id), {
				tokens: inFlightRequest.backlogTokens + inFlightRequest.prefillTokens,
				certainTokens: inFlightRequest.localBacklogTokens + inFlightRequest.prefillTokens,
				waitMs,
			});
		} else if (prefillEngine) {
			this.#transfer.add(request.promptTokens, Math.max(0, waitMs - inFlightRequest.expectedPrefillMs));
		}
	}

	#onDone(inFlightRequest: InFlightRequest, decodeCountAtEnd: number): void {
		const {request, placement: {upstream, relayAddress}} = inFlightRequest;
		const now = this.#dependencies.timers.getNow();
		if (Number.isFinite(inFlightRequest.expectedEndMs)) {
			const correction = this.#corrections.get(request.service) ?? new LatencyCorrection();
			this.#corrections.set(request.service, correction);
			correction.add(inFlightRequest.expectedEndMs, now - inFlightRequest.sentAt, now);
		}

		if (request.maxTokens > 0) {
			const knownShare = this.#outputShares.get(request.service) ?? defaultOutputShare;
			this.#outputShares.set(request.service, (knownShare * decayFactor) + ((1 - decayFactor) * Math.min(1, inFlightRequest.receivedTokens / request.maxTokens)));
		}

		if (inFlightRequest.firstTokenAt === undefined || inFlightRequest.receivedTokens < minTokensForInterval || relayAddress !== undefined) {
			return;
		}

		const tokenIntervalMs = (inFlightRequest.lastTokenAt - inFlightRequest.firstTokenAt) / (inFlightRequest.receivedTokens - 1);
		const decodeCount = Math.max(1, (inFlightRequest.decodeCountAtFirstToken + decodeCountAtEnd) / 2);
		this.#dependencies.speeds.onTokenInterval(request.service, upstream.id, this.#dependencies.getRole(upstream.id), {tokenIntervalMs, decodeCount});
	}

	#computeDecodeCount(upstream: string): number {
		const engineEstimate = this.#dependencies.getEngineEstimate(upstream);
		const {requestCount} = engineEstimate.computeBacklog(this.#dependencies.timers.getNow(), 1, this.#dependencies.countEntries());
		return engineEstimate.computeDecodeCount(requestCount);
	}

	#getKey(request: RoutingRequest, placement: Placement): string {
		return `${request.id}\n${placement.upstream.id}`;
	}
}
