import type {History} from '../history/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Placement, Router, RoutingRequest} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient, GenerateEvent} from '../upstreams/index.js';
import type {AnswerCheck} from './check.js';
import type {StreamTimeouts} from './timeouts.js';

/** A client of an engine, with the connections that it uses. */
export type EngineConnection = {
	readonly client: EngineClient;
	/** Closes the connections that were opened for this request alone. */
	readonly close: () => void;
};

/** Receives the checked events of an answer in order, each once, with the placement that they came from. */
export type AnswerSink = (events: readonly GenerateEvent[], placement: Placement) => Promise<void> | void;

/** A generation to be served. */
export type StreamJob = {
	readonly request: RoutingRequest;
	readonly prompt: string;
	/** Index of the first token that the caller needs; above 0 when it resumes an answer. */
	readonly offset: number;
	/** Engine that may still hold the request of a caller that resumes an answer. */
	readonly resumePlacement?: Placement;
};

/** Dependencies for serving a stream. */
export type StreamDependencies = {
	readonly router: Router;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** Records decisions on silent answers, if set. */
	readonly history?: Pick<History, 'record'>;
	/** Returns a connection to the placement's engine; with `isDedicated`, one that is opened for this request alone. */
	readonly getConnection: (placement: Placement, isDedicated: boolean) => EngineConnection;
	/** Returns the timeouts of an attempt; `isResume` when the request is sent again to an engine that may still hold it. */
	readonly getTimeouts: (placement: Placement, isResume: boolean) => StreamTimeouts;
	readonly onEvents: AnswerSink;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Creates the check of an answer's events where it replaces the default one. */
	readonly createCheck?: (id: string, offset: number) => AnswerCheck;
};
