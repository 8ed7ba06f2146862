import {computeReturnAfterMs} from '../dispatch/index.js';
import type {WaitingLine} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';
import type {GatewayDependencies, ServedRequest} from './served.js';

/** How a request looks for a place. */
export type EngineSearch<Choice> = {
	/** Time from a place to the first byte of an answer, in milliseconds. */
	readonly serviceMs: number;
	/** An earlier engine may have run it. */
	readonly mayHaveRun: boolean;
	readonly tryChoose: (now: number) => Choice | undefined;
};

/** Waits for a place; answers the caller and returns nothing when it is refused instead. */
export async function waitForEngine<Choice>(
	dependencies: GatewayDependencies,
	served: ServedRequest,
	queue: WaitingLine<Choice>,
	search: EngineSearch<Choice>,
): Promise<Choice | undefined> {
	const {targetAt, deadlineAt, route} = served;
	try {
		const choice = await queue.wait({
			targetAt, deadlineAt, patientUntil: deadlineAt, since: dependencies.timers.getNow(), serviceMs: search.serviceMs, group: route.kind,
		}, search.tryChoose, served.signal);
		served.trace.onAdmitted();
		return choice;
	} catch (error) {
		refuseUnadmitted(served, error, search.mayHaveRun);
		return undefined;
	}
}

/** Answers a request that got no place; throws an error that says something else. */
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
		// It may have run at an earlier engine: only an answer that promises nothing is true.
		refuse(served, 502, refusalReason.upstreamFailed, undefined);
	} else {
		refuse(served, 503, error.reason as RefusalReason, error.retryAfterMs);
	}
}

/** Refuses a request that has not run and never will, with a time to come back. */
export function refuseNotRun(dependencies: GatewayDependencies, served: ServedRequest, reason: RefusalReason): void {
	const remainingMs = served.deadlineAt - dependencies.timers.getNow();
	refuse(served, 503, reason, computeReturnAfterMs(remainingMs, dependencies.getRandom()));
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
