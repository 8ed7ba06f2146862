import type {Upstream} from '../deployment/index.js';

/** A caller's request to a model service, as the routing decisions see it. */
export type RoutingRequest = {
	readonly id: string;
	readonly caller: string;
	readonly service: string;
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Hashes of the prompt's prefixes, the shortest first; each is one block longer than the one before. */
	readonly prefixes: readonly string[];
	/** A request with a higher priority goes first. */
	readonly priority: number;
	/** Monotonic time, in milliseconds, after which the first token is late. */
	readonly firstTokenTargetAt: number;
	/** Monotonic time, in milliseconds, by which the whole answer must be complete. */
	readonly deadlineAt: number;
};

/** The engines that serve a request. */
export type Placement = {
	/** Engine that generates the answer. */
	readonly upstream: Upstream;
	/** Engine that prefills the prompt and hands its KV cache over to `upstream`; without one, `upstream` prefills itself. */
	readonly prefillEngine?: Upstream;
	/** Entry that relays the request (`host:port`), when the upstream is in another failure domain. */
	readonly relayAddress?: string;
};

/** How a request ended at an upstream. */
export const placementOutcome = {
	/** The answer is complete. */
	done: 'done',
	/** The upstream did not run the request. */
	notRun: 'not_run',
	/** The answer broke off, was lost, or was for another request. */
	broken: 'broken',
	/** Nothing was received in time. */
	silent: 'silent',
	/** The request was cancelled, for instance because its caller left or its deadline passed. */
	cancelled: 'cancelled',
	/** The request failed in another way. */
	failed: 'failed',
} as const;

/** See {@link placementOutcome}. */
export type PlacementOutcome = (typeof placementOutcome)[keyof typeof placementOutcome];

/**
Chooses the upstream for each request. Its `on…` methods report what became of the requests, so that its estimates include
what this entry has sent since the last load report. All methods return at once and do no I/O.
*/
export abstract class Router {
	/** Checks a call to an application service against the caller's limits. Throws `NotRunError` when it exceeds them. */
	checkCall(_service: string, _caller: string): void {
		// A router without limits on callers lets every call pass.
	}

	/** Records that nothing was received in time from an engine that is waited for all the same. The request stays in progress until `onEnd`. */
	onSilent(_placement: Placement): void {
		// A router without health of engines has no use for it.
	}

	/**
	Admits a request and chooses the engines that serve it; the upstreams with the ids in `excluded` are not chosen.
	A further attempt at an admitted request is not checked again; by default it is one if upstreams are excluded.
	Throws `NotRunError` with the reason and the time after which to retry.
	*/
	abstract choosePlacement(request: RoutingRequest, excluded: ReadonlySet<string>, isFurtherAttempt?: boolean): Placement;
	/** Takes one retry from the service's retry budget; returns whether there was one. */
	abstract tryRetry(service: string): boolean;
	/** Records that a request is sent. Called in the same turn as the request is handed to the connection. */
	abstract onSent(request: RoutingRequest, placement: Placement): void;
	/** Records `count` received tokens of an answer. */
	abstract onTokens(request: RoutingRequest, placement: Placement, count: number): void;
	/** Records the end of a request. Called once for each `onSent`. */
	abstract onEnd(request: RoutingRequest, placement: Placement, outcome: PlacementOutcome): void;
	/** Chooses an instance of an application service, except those with the ids in `excluded`. Throws `NotRunError` when there is none. */
	abstract chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream;
	/** Records that a call to an instance is sent. Called in the same turn as the call is handed to the connection. */
	abstract onCallSent(upstream: string): void;
	/** Records the end of a call. Called once for each `onCallSent`. */
	abstract onCallEnd(upstream: string, outcome: PlacementOutcome): void;
	/** Tells whether an upstream may get new requests. Called again in the same turn as each send. */
	abstract isAvailable(upstream: string): boolean;
	/** Counts this entry's requests in progress at an upstream. */
	abstract countInFlight(upstream: string): number;
}

/** Counts the requests that callers make, whether admitted or not. */
export type DemandCounter = {
	/** Counts one request, with the tokens of its prompt and the expected tokens of its answer. */
	readonly count: (service: string, promptTokens: number, outputTokens: number) => void;
};
