import type {Upstream} from '../deployment/index.js';

/** A request of a caller to a model service, as the decisions see it. */
export type RoutingRequest = {
	readonly id: string;
	readonly caller: string;
	readonly service: string;
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Hashes of the prompt's prefixes, block by block, shortest first. */
	readonly prefixes: readonly string[];
	/** Higher goes first. */
	readonly priority: number;
	/** On the monotonic clock, in milliseconds: when the first token and the whole answer are due. */
	readonly firstTokenTargetAt: number;
	readonly due: number;
};

/** Where a request goes. */
export type Placement = {
	readonly upstream: Upstream;
	/** Engine that prefills and hands over its KV cache, when another than `upstream` does. */
	readonly prefillEngine?: Upstream;
	/** Entry of another failure domain to go through (`host:port`), when the upstream stands there. */
	readonly relayAddress?: string;
};

/** How a request ended at an upstream. */
export const placementOutcome = {
	done: 'done',
	notRun: 'not_run',
	broken: 'broken',
	silent: 'silent',
	cancelled: 'cancelled',
	failed: 'failed',
} as const;

/** See {@link placementOutcome}. */
export type PlacementOutcome = (typeof placementOutcome)[keyof typeof placementOutcome];

/**
Decides where requests go, and is told what became of them so that its picture holds the entry's own work
since the last load report. All methods return at once and do no I/O.
*/
export abstract class Router {
	/** Checks a call to an application service against the caller's limits. Throws `NotRunError`. */
	checkCall(_service: string, _caller: string): void {
		// A router without limits of callers lets every call pass.
	}

	/**
	Admits the work and chooses a place for it, not among `excluded` upstream ids.
	Throws `NotRunError` with the reason and a time to come back.
	*/
	abstract choosePlacement(request: RoutingRequest, excluded: ReadonlySet<string>): Placement;
	/** Says whether the retry budget allows one more attempt now, and takes it. */
	abstract tryRetry(service: string): boolean;
	/** Told in the same turn as the request is handed to the connection. */
	abstract onSent(request: RoutingRequest, placement: Placement): void;
	/** Told of tokens received. */
	abstract onTokens(request: RoutingRequest, placement: Placement, count: number): void;
	/** Told once for each `onSent`. */
	abstract onEnd(request: RoutingRequest, placement: Placement, outcome: PlacementOutcome): void;
	/** Chooses an instance of an application service, not among `excluded`. Throws `NotRunError`. */
	abstract chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream;
	/** Told in the same turn as a call is handed to the connection. */
	abstract onCallSent(upstream: string): void;
	/** Told once for each `onCallSent`. */
	abstract onCallEnd(upstream: string, outcome: PlacementOutcome): void;
	/** Asks whether an upstream may be sent new work; asked again in the same turn as each send. */
	abstract isAvailable(upstream: string): boolean;
	/** Counts the entry's own requests in progress at an upstream. */
	abstract countInFlight(upstream: string): number;
}

/** Where a policy counts the work that it is offered. */
export type DemandCounter = {
	/** Counts one request with the tokens of its prompt and those expected of its answer. */
	readonly count: (service: string, promptTokens: number, outputTokens: number) => void;
};
