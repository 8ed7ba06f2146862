import type {AccessRefusal, CustomerAccess} from '../customers/index.js';
import type {EngineLoad, EngineView, Fleet} from '../dispatch/index.js';
import type {ExtraSends} from '../hedging/index.js';
import type {WindowRetryBudget} from '../retries/index.js';
import type {PermitProvider, ReservationProvider} from '../places/index.js';
import type {BlockQuarantine} from '../quarantine/index.js';
import type {RequestLimits} from '../requestlimits/index.js';
import type {TimerService} from '../timers/index.js';
import type {CallerAnswer, EngineLink} from './ports.js';
import type {ServiceTimes} from './servicetimes.js';
import type {RequestReporter, RequestTrace} from './trace.js';
import type {GatewayRequest, ModelEngineSpec, Route} from './types.js';

/** What a gateway is built from. */
export type GatewayDependencies = {
	readonly timers: TimerService;
	readonly link: EngineLink;
	/** Grants reservations on the engines of generation services. */
	readonly reservations: ReservationProvider;
	/** Grants permits for requests without a reservation to engines that name a limit. */
	readonly permits: PermitProvider;
	/** Limits that engines name in their answers. */
	readonly limits: RequestLimits;
	/** Blocks of prompts that crash engines; requests with them are refused. */
	readonly quarantine: BlockQuarantine;
	readonly serviceTimes: ServiceTimes;
	/** Decides which requests may run by their API keys. Default: requests need none. */
	readonly access?: CustomerAccess;
	readonly retryBudget: WindowRetryBudget;
	readonly reporter: RequestReporter;
	/** Decides when slow requests are also sent to a second engine. Default: never. */
	readonly extraSends?: ExtraSends;
	/** Called with each load report that names a slowdown. */
	readonly onLoadReport?: (view: EngineView, load: EngineLoad) => void;
	/** Called once for each request that an engine begins to answer: with its first event, or with the head of its answer. */
	readonly onBegun?: (request: GatewayRequest) => void;
	/** Returns a uniform random number in [0, 1). */
	readonly getRandom: () => number;
};

/** A request that is being served; times are monotonic, in milliseconds. */
export type ServedRequest = {
	readonly request: GatewayRequest;
	readonly route: Route;
	readonly service: string;
	readonly answer: CallerAnswer;
	readonly trace: RequestTrace;
	readonly fleet: Fleet;
	/** Aborted when the caller has disconnected or the deadline has passed. */
	readonly signal: AbortSignal;
	/** Aborted then, and when the process stops before the deadline: a request that has no engine by then may not end in time. */
	readonly waitSignal: AbortSignal;
	/** The service's engines; `undefined` for an application service. */
	readonly model: ModelEngineSpec | undefined;
	/** Until then the answer is on time. */
	readonly targetAt: number;
	/** Until then the answer is of use. */
	readonly deadlineAt: number;
};

/** Finds why a request must not be sent to an engine now, by its API key; `undefined` when it may be, or needs none. */
export function findAccessRefusal({access}: GatewayDependencies, {route, request}: ServedRequest): AccessRefusal | undefined {
	return route.isPublic ? undefined : access?.check(request.credential);
}

/** Reports that an engine has begun to answer a request, if it is the first one. */
export function reportBegun({onBegun}: GatewayDependencies, {request, trace}: ServedRequest): void {
	if (!trace.hasBegun) {
		trace.hasBegun = true;
		onBegun?.(request);
	}
}

/** Counts one more request of this process at an engine, until the returned function is called. */
export function trackSend(view: EngineView): () => void {
	view.localRequests++;
	view.health.onSend();
	let isTracked = true;
	return () => {
		if (isTracked) {
			isTracked = false;
			view.localRequests--;
		}
	};
}
