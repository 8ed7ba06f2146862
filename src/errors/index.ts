/** All error types of the system; callers of a port handle these and no others. */
export {
	AuthorityLostError,
	BadFrameError,
	BadRequestError,
	BrokenAnswerError,
	ConfigurationConflictError,
	CallerGoneError,
	CrocusError,
	EntryRefusedError,
	EntryUnreachableError,
	DeadlineError,
	ForeignAnswerError,
	InvalidTextError,
	KeyPendingError,
	LeaseHeldError,
	NotRunError,
	NotSentError,
	OperationRefusedError,
	OrderBlockedError,
	OrderRefusedError,
	SilentAnswerError,
	SlowCallerError,
	StaleFenceError,
	StillWaitingError,
	StoreConflictError,
	StoreUnavailableError,
	StoreUncertainError,
	UnknownOutcomeError,
} from './errors.js';
export type {ValidationProblem} from './errors.js';
export {formatError, subscribeUnhandledErrors} from './unhandled.js';
export type {UnhandledErrorKind} from './unhandled.js';
export {refusalReason, retryReason} from './reasons.js';
export type {RefusalReason, RetryReason} from './reasons.js';
