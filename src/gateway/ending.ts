import {computeRetryAfterMs} from '../dispatch/index.js';
import type {AdmissionQueue, QueueRefusal} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';
import {findAccessRefusal} from './served.js';
import type {GatewayDependencies, ServedRequest} from './served.js';

/** Time after which to retry when a process that is stopping refused, in milliseconds: short, since a new connection goes to another process at once. */
export const drainingRetryAfterMs = 50;

/** Time after which to retry when this process may not know of a revoked key, in milliseconds: short, since a new connection goes to another process. */
export const staleRetryAfterMs = 100;

/** How a queued request chooses an engine. */
export type EngineSearch<Choice> = {
	/** Expected time from the choice of an engine to the first byte of its answer, in milliseconds. */
	readonly serviceMs: number;
	/** Whether an engine may have run the request in an earlier attempt. */
	readonly mayHaveRun: boolean;
	/** Returns `undefined` while no engine can take the request, and a refusal when waiting is of no use; `now` is monotonic, in milliseconds. */
	readonly tryChoose: (now: number) => Choice | QueueRefusal | undefined;
};

/** Waits in the queue until an engine can take the request. If the request is refused instead, answers the caller and returns `undefined`. */
export async function waitForEngine<Choice>(
	dependencies: GatewayDependencies,
	served: ServedRequest,
	queue: AdmissionQueue<Choice>,
	search: EngineSearch<Choice>,
): Promise<Choice | undefined> {
	const {targetAt, deadlineAt, route} = served;
	try {
		const choice = await queue.wait({
			targetAt, deadlineAt, firstByteDeadlineAt: deadlineAt, queuedAt: dependencies.timers.getNow(), serviceMs: search.serviceMs, group: route.kind,
			customer: served.request.credential?.customer.name,
		}, search.tryChoose, search.mayHaveRun ? served.signal : served.waitSignal);
		served.trace.onAdmitted();
		return choice;
	} catch (error) {
		refuseUnadmitted(served, error, search.mayHaveRun);
		return undefined;
	}
}

/** Ends a request that got no engine. `error` is the `NotRunError` of its refusal; any other error is thrown again. */
export function refuseUnadmitted(served: ServedRequest, error: unknown, mayHaveRun: boolean): void {
	if (!(error instanceof NotRunError)) {
		throw error;
	}

	if (served.answer.signal.aborted) {
		served.trace.finish('caller_gone', undefined);
	} else if (served.answer.isStarted) {
		served.trace.finish('broken', error.reason);
		served.answer.abort();
	} else if (mayHaveRun) {
		// An earlier engine may have run the request, so the answer must not say that it was not run.
		refuse(served, 502, refusalReason.upstreamFailed, undefined);
	} else if (served.waitSignal.aborted && !served.signal.aborted) {
		refuse(served, 503, refusalReason.draining, drainingRetryAfterMs);
	} else {
		refuse(served, 503, error.reason as RefusalReason, error.retryAfterMs);
	}
}

/** Ends a request whose engines want nothing from this process for longer than its caller waits: another process may still serve it. */
export function refusePaused(dependencies: GatewayDependencies, served: ServedRequest, mayHaveRun: boolean): void {
	refuseFor(dependencies, served, {reason: refusalReason.overload, mayHaveRun});
}

/** Ends a request that the retry budget doesn't allow to be sent once more. */
export function refuseRetry(dependencies: GatewayDependencies, served: ServedRequest, mayHaveRun: boolean): void {
	refuseFor(dependencies, served, {reason: refusalReason.retryBudget, mayHaveRun});
}

/** Ends a request whose prompt has blocks that crash engines; it is of no use to send it again before `quarantineMs` have passed. */
export function refuseQuarantined(served: ServedRequest, quarantineMs: number, mayHaveRun: boolean): void {
	refuseUnadmitted(served, new NotRunError('The prompt has blocks that crash engines.', {props: {reason: refusalReason.quarantined, retryAfterMs: quarantineMs}}), mayHaveRun);
}

/** Ends a request that must not be sent to an engine now, as its API key is or may be revoked. Returns whether it did. */
export function refuseAccess(dependencies: GatewayDependencies, served: ServedRequest, mayHaveRun: boolean): boolean {
	const reason = findAccessRefusal(dependencies, served);
	if (reason === undefined) {
		return false;
	}

	if (reason === refusalReason.unknownKey && !mayHaveRun && !served.answer.isStarted && !served.answer.signal.aborted) {
		refuse(served, 401, reason, undefined);
	} else {
		refuseUnadmitted(served, new NotRunError('The API key of the request is or may be revoked.', {props: {reason, retryAfterMs: staleRetryAfterMs}}), mayHaveRun);
	}

	return true;
}

/** Ends a request that may have run but has no answer to relay. */
export function finishUnanswered(served: ServedRequest, attempt: Attempt): void {
	if (served.answer.signal.aborted) {
		served.trace.finish('caller_gone', attempt.trace.sign);
		return;
	}

	if (served.answer.isStarted) {
		served.trace.finish('broken', attempt.trace.detail);
		served.answer.abort();
		return;
	}

	if (served.signal.aborted) {
		refuse(served, 504, refusalReason.deadline, undefined);
	} else {
		refuse(served, 502, refusalReason.upstreamFailed, undefined);
	}
}

function refuseFor({timers, getRandom}: GatewayDependencies, served: ServedRequest, {reason, mayHaveRun}: {readonly reason: RefusalReason; readonly mayHaveRun: boolean}): void {
	const retryAfterMs = computeRetryAfterMs(served.deadlineAt - timers.getNow(), getRandom());
	refuseUnadmitted(served, new NotRunError(`No engine gets the request: ${reason}.`, {props: {reason, retryAfterMs}}), mayHaveRun);
}

function refuse(served: ServedRequest, status: number, reason: RefusalReason, retryAfterMs: number | undefined): void {
	served.trace.finish(status === 503 || status === 401 ? 'refused' : 'failed', reason, status);
	served.answer.refuse(status, reason, retryAfterMs);
}
