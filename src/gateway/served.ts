import type {EngineView, Fleet} from '../dispatch/index.js';
import type {WindowRetryBudget} from '../retries/index.js';
import type {PlaceSource} from '../places/index.js';
import type {TimerService} from '../timers/index.js';
import type {CallerAnswer, EngineLink} from './ports.js';
import type {ServiceTimes} from './servicetimes.js';
import type {RequestReport, RequestTrace} from './trace.js';
import type {GatewayRequest, Route} from './types.js';

/** What serving needs beside the request. */
export type GatewayParts = {
	readonly timers: TimerService;
	readonly link: EngineLink;
	/** Places of generation services. */
	readonly places: PlaceSource;
	readonly serviceTimes: ServiceTimes;
	readonly budget: WindowRetryBudget;
	readonly report: RequestReport;
	/** Picks a random number from 0 up to, and without, 1. */
	readonly pickUnit: () => number;
};

/** One request on its way; times are monotonic, in milliseconds. */
export type ServedRequest = {
	readonly request: GatewayRequest;
	readonly route: Route;
	readonly service: string;
	readonly answer: CallerAnswer;
	readonly trace: RequestTrace;
	readonly fleet: Fleet;
	/** Aborted when the caller has gone or its deadline has passed. */
	readonly signal: AbortSignal;
	/** Memory of an engine that generates, in tokens; 0 where the service does not. */
	readonly engineTokens: number;
	readonly targetAt: number;
	readonly deadlineAt: number;
};

/** Marks an engine as having one more request, until the returned function is called. */
export function acquirePlace(view: EngineView): () => void {
	view.localRequests++;
	view.health.onSend();
	let isHeld = true;
	return () => {
		if (isHeld) {
			isHeld = false;
			view.localRequests--;
		}
	};
}
