import {
	BadRequestError, CallerGoneError, CrocusError, DeadlineError, KeyPendingError, NotRunError, refusalReason, SlowCallerError,
} from '../errors/index.js';
import type {ErrorDetails} from './wire.js';

/** The HTTP answer that tells a caller of a refusal or failure: its status and what its body is made of. */
export type ErrorAnswer = ErrorDetails & {readonly status: number};

const statusByReason: Readonly<Record<string, number>> = {
	[refusalReason.unknownModel]: 404,
	[refusalReason.keyConflict]: 409,
	[refusalReason.badResume]: 409,
	[refusalReason.callerLimit]: 429,
	[refusalReason.queueFull]: 429,
};
/** Told to callers for an error that is not one of this system's own: its message may name internal addresses. */
const unknownOutcomeMessage = 'the outcome is not known';
const invalidRequestType = 'invalid_request_error';
const serverErrorType = 'server_error';
const rateLimitType = 'rate_limit_error';

/** Decides the HTTP answer to a request that ended with an error, which also says whether the request ran. */
export function decideErrorAnswer(error: unknown): ErrorAnswer {
	if (error instanceof BadRequestError) {
		const problems = error.problems.length > 0 ? {problems: error.problems} : {};
		return {
			status: 400, message: error.summary, type: invalidRequestType, code: refusalReason.badRequest, ran: 'no', ...problems,
		};
	}

	if (error instanceof NotRunError) {
		const status = statusByReason[error.reason] ?? 503;
		return {
			status, message: error.summary, type: decideErrorType(status), code: error.reason, ran: 'no', retryAfterMs: error.retryAfterMs,
		};
	}

	if (error instanceof KeyPendingError) {
		return {
			status: 409, message: error.summary, type: invalidRequestType, code: refusalReason.keyPending, ran: 'unknown', retryAfterMs: error.retryAfterMs,
		};
	}

	if (error instanceof DeadlineError) {
		return {
			status: 504, message: error.summary, type: serverErrorType, code: refusalReason.deadline, ran: 'unknown', retryAfterMs: error.retryAfterMs,
		};
	}

	const message = isSummarized(error) ? error.summary : unknownOutcomeMessage;
	return {
		status: 502, message, type: serverErrorType, code: 'unknown_outcome', ran: 'unknown',
	};
}

/** Decides the outcome under which the request counter counts a request that ended with an error. */
export function decideRequestOutcome(error: unknown): 'refused' | 'cancelled' | 'deadline' | 'failed' {
	if (error instanceof NotRunError || error instanceof BadRequestError || error instanceof KeyPendingError) {
		return 'refused';
	}

	if (error instanceof CallerGoneError || error instanceof SlowCallerError) {
		return 'cancelled';
	}

	return error instanceof DeadlineError ? 'deadline' : 'failed';
}

function decideErrorType(status: number): string {
	if (status === 429) {
		return rateLimitType;
	}

	return status < 500 ? invalidRequestType : serverErrorType;
}

function isSummarized(error: unknown): error is Error & {readonly summary: string} {
	return error instanceof CrocusError && 'summary' in error;
}
