import {
	BadRequestError, CallerGoneError, DeadlineError, KeyPendingError, NotRunError, refusalReason, SlowCallerError,
} from '../errors/index.js';
import type {ErrorParticulars} from './wire.js';

/** What a caller is told of a refusal or failure. */
export type Refusal = ErrorParticulars & {readonly status: number};

const statuses: Readonly<Record<string, number>> = {
	[refusalReason.unknownModel]: 404,
	[refusalReason.keyConflict]: 409,
	[refusalReason.badResume]: 409,
	[refusalReason.callerLimit]: 429,
	[refusalReason.queueFull]: 429,
};
const invalidRequest = 'invalid_request_error';
const serverError = 'server_error';
const rateLimit = 'rate_limit_error';

/** Decides what a caller is told of an error: the status, and whether its request ran. */
export function decideRefusal(error: unknown): Refusal {
	if (error instanceof BadRequestError) {
		const problems = error.problems.length > 0 ? {problems: error.problems} : {};
		return {
			status: 400, message: error.message, type: invalidRequest, code: refusalReason.badRequest, ran: 'no', ...problems,
		};
	}

	if (error instanceof NotRunError) {
		const status = statuses[error.reason] ?? 503;
		return {
			status, message: error.message, type: decideType(status), code: error.reason, ran: 'no', retryAfterMs: error.retryAfterMs,
		};
	}

	if (error instanceof KeyPendingError) {
		return {
			status: 409, message: error.message, type: invalidRequest, code: refusalReason.keyPending, ran: 'unknown', retryAfterMs: error.retryAfterMs,
		};
	}

	if (error instanceof DeadlineError) {
		return {
			status: 504, message: error.message, type: serverError, code: refusalReason.deadline, ran: 'unknown', retryAfterMs: error.retryAfterMs,
		};
	}

	const message = error instanceof Error ? error.message : 'the outcome is not known';
	return {
		status: 502, message, type: serverError, code: 'unknown_outcome', ran: 'unknown',
	};
}

/** Says in one word how a request with this error ended, for the counter of requests. */
export function decideOutcome(error: unknown): 'refused' | 'cancelled' | 'deadline' | 'failed' {
	if (error instanceof NotRunError || error instanceof BadRequestError || error instanceof KeyPendingError) {
		return 'refused';
	}

	if (error instanceof CallerGoneError || error instanceof SlowCallerError) {
		return 'cancelled';
	}

	return error instanceof DeadlineError ? 'deadline' : 'failed';
}

function decideType(status: number): string {
	if (status === 429) {
		return rateLimit;
	}

	return status < 500 ? invalidRequest : serverError;
}
