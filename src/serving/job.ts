import type {Metrics} from '../metrics/index.js';
import type {Placement, Router, RoutingRequest} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient, GenerateEvent} from '../upstreams/index.js';
import type {AnswerCheck} from './check.js';
import type {StreamLimits} from './limits.js';

/** A client of an engine with the connections that belong to it. */
export type EngineConnection = {
	readonly client: EngineClient;
	/** Closes what was opened for this request alone. */
	readonly close: () => void;
};

/** Takes the checked events of an answer in order, each once, with the place they came from. */
export type AnswerSink = (events: readonly GenerateEvent[], placement: Placement) => Promise<void> | void;

/** A request to be generated. */
export type StreamJob = {
	readonly work: RoutingRequest;
	readonly prompt: string;
	/** Index of the first token that the caller wants; above 0 when it comes back for the rest. */
	readonly offset: number;
	/** Engine that may still hold the request of a caller that comes back. */
	readonly held?: Placement;
};

/** What serving a stream needs. */
export type StreamParts = {
	readonly router: Router;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** Gives the engine at a placement; `isFresh` asks for connections opened for this request alone. */
	readonly getEngine: (placement: Placement, isFresh: boolean) => EngineConnection;
	/** Gives the limits on silence; `isAgain` when the engine was asked again after silence. */
	readonly getLimits: (placement: Placement, isAgain: boolean) => StreamLimits;
	readonly onEvents: AnswerSink;
	readonly signal: AbortSignal;
	/** Makes the check of an answer's events, when not the usual one. */
	readonly createCheck?: (id: string, offset: number) => AnswerCheck;
};
