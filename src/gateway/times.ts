import type {GatewayRequest, Route} from './types.js';

/**
Part of a route's timeout below which a caller's time left tells that it was here before: first attempts give from 85
to 100 in 100 of it, and a refusal sends its caller away for a sixth of its time left or more.
*/
const callerRetryShare = 0.84;
/**
Part of a route's target that is left when a request was read here: the caller counts from before it opened its
connection to when the answer's first bytes have come back to it.
*/
const remainingTargetShare = 0.9;

/** Until when an answer is on time and of use; monotonic, in milliseconds. */
export type RequestTimes = {
	readonly targetAt: number;
	readonly deadlineAt: number;
};

/** Works out until when a request's answer is on time and of use, by its route and the time that its caller has left. */
export function createTimes(request: GatewayRequest, route: Route): RequestTimes {
	const callerTimeoutMs = request.callerDeadlineMs ?? route.timeoutMs;
	const isCallerRetry = callerTimeoutMs < route.timeoutMs * callerRetryShare;
	return {
		// A target counts from the caller's first attempt: for one that comes back after a refusal it has passed.
		targetAt: isCallerRetry ? request.arrivedAt - 1 : request.arrivedAt + (route.targetMs * remainingTargetShare),
		deadlineAt: request.arrivedAt + Math.min(callerTimeoutMs, route.timeoutMs),
	};
}
