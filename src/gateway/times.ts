import type {GatewayRequest, Route} from './types.js';

/**
Share of a route's timeout below which the caller's remaining time marks a retry after a refusal: first attempts come
with 85 to 100 percent of the timeout, and a refusal asks its caller to wait for at least a sixth of its remaining time.
*/
const callerRetryShare = 0.84;
/**
Share of a route's target that is left when a request has been read here: the caller measures from before it opens its
connection until the first bytes of the answer reach it.
*/
const remainingTargetShare = 0.9;

/** Target and deadline of a request; monotonic, in milliseconds. */
export type RequestTimes = {
	/** Until then the answer is on time. */
	readonly targetAt: number;
	/** Until then the answer is of use. */
	readonly deadlineAt: number;
};

/** Computes the target and deadline of a request from its route and the caller's remaining time. */
export function createTimes(request: GatewayRequest, route: Route): RequestTimes {
	const callerTimeoutMs = request.callerDeadlineMs ?? route.timeoutMs;
	const isCallerRetry = callerTimeoutMs < route.timeoutMs * callerRetryShare;
	return {
		// The target counts from the caller's first attempt, so it has passed for a retry after a refusal.
		targetAt: isCallerRetry ? request.arrivedAt - 1 : request.arrivedAt + (route.targetMs * remainingTargetShare),
		deadlineAt: request.arrivedAt + Math.min(callerTimeoutMs, route.timeoutMs),
	};
}
