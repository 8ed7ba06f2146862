import {computeRetryAfterMs} from '../dispatch/index.js';
import type {AdmissionQueue} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';
import type {GatewayParts, ServedRequest} from './served.js';

/** How a request looks for a place. */
export type PlaceSearch<Place> = {
	/** Time from a place to the first byte of an answer, in milliseconds. */
	readonly serviceMs: number;
	/** An earlier engine may have run it. */
	readonly mayHaveRun: boolean;
	readonly tryPlace: (now: number) => Place | undefined;
};

/** Waits for a place; answers the caller and returns nothing when it is refused instead. */
export async function waitForPlace<Place>(
	parts: GatewayParts,
	served: ServedRequest,
	line: AdmissionQueue<Place>,
	search: PlaceSearch<Place>,
): Promise<Place | undefined> {
	const {targetAt, deadlineAt, route} = served;
	try {
		const place = await line.wait({
			targetAt, deadlineAt, firstByteDeadlineAt: deadlineAt, queuedAt: parts.timers.getNow(), serviceMs: search.serviceMs, group: route.kind,
		}, search.tryPlace, served.signal);
		served.trace.onPlace();
		return place;
	} catch (error) {
		refuseWithoutPlace(served, error, search.mayHaveRun);
		return undefined;
	}
}

/** Answers a request that got no place; throws an error that says something else. */
export function refuseWithoutPlace(served: ServedRequest, error: unknown, mayHaveRun: boolean): void {
	if (!(error instanceof NotRunError)) {
		throw error;
	}

	if (served.answer.signal.aborted) {
		served.trace.finish('caller_gone', undefined);
	} else if (served.answer.isStarted) {
		served.trace.finish('broken', error.reason);
		served.answer.abort();
	} else if (mayHaveRun) {
		// It may have run at an earlier engine: only an answer that promises nothing is true.
		refuse(served, 502, refusalReason.upstreamFailed, undefined);
	} else {
		refuse(served, 503, error.reason as RefusalReason, error.retryAfterMs);
	}
}

/** Refuses a request that has not run and never will, with a time to come back. */
export function refuseNotRun(parts: GatewayParts, served: ServedRequest, reason: RefusalReason): void {
	const left = served.deadlineAt - parts.timers.getNow();
	refuse(served, 503, reason, computeRetryAfterMs(left, parts.pickUnit()));
}

/** Ends a request that may have run and has no answer to pass on. */
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

function refuse(served: ServedRequest, status: number, reason: RefusalReason, retryAfterMs: number | undefined): void {
	served.trace.finish(status === 503 ? 'refused' : 'failed', reason, status);
	served.answer.refuse(status, reason, retryAfterMs);
}
