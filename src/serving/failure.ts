import {
	BrokenAnswerError, CallerGoneError, DeadlineError, ForeignAnswerError, NotRunError, refusalReason, retryReason,
	SilentAnswerError, SlowCallerError, UnknownOutcomeError,
} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import {placementOutcome} from '../routing/index.js';
import type {PlacementOutcome} from '../routing/index.js';

/** What the failure of an attempt means for the request. */
export type AttemptFailure = {
	readonly outcome: PlacementOutcome;
	/** Set when the request may be tried again. */
	readonly retryReason?: RetryReason;
	/** Whether the engine may still hold the request, so that it can be resumed there on a new connection. */
	readonly mayBeHeld: boolean;
};

/** Decides what the error of an attempt means for the request. A generation may be repeated, so it is tried again also when its answer was lost. */
export function decideFailure(error: unknown): AttemptFailure {
	if (error instanceof NotRunError) {
		const reason = error.isUnreached ? retryReason.connectFailed : retryReason.refusedNotRun;
		return {outcome: placementOutcome.notRun, retryReason: error.reason === refusalReason.draining ? retryReason.closedBeforeSend : reason, mayBeHeld: false};
	}

	if (error instanceof SilentAnswerError) {
		return {outcome: placementOutcome.silent, retryReason: retryReason.silentStream, mayBeHeld: true};
	}

	if (error instanceof ForeignAnswerError) {
		return {outcome: placementOutcome.broken, retryReason: retryReason.foreignAnswer, mayBeHeld: true};
	}

	if (error instanceof BrokenAnswerError || error instanceof UnknownOutcomeError) {
		return {outcome: placementOutcome.broken, retryReason: retryReason.brokenStream, mayBeHeld: true};
	}

	const isCancelled = error instanceof CallerGoneError || error instanceof SlowCallerError || error instanceof DeadlineError;
	return {outcome: isCancelled ? placementOutcome.cancelled : placementOutcome.failed, mayBeHeld: false};
}
