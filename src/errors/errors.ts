import ModernError from 'modern-errors';
import type {RefusalReason} from './reasons.js';

/** Base class of all errors of this system. */
export const CrocusError = ModernError.subclass('CrocusError');

type ErrorOptions<Props> = {readonly cause?: unknown; readonly props?: Partial<Props>};

type ErrorClass<Props> = new (message: string, options?: ErrorOptions<Props>) => Error & Readonly<Props> & {
	/** The error's own message without those of its causes, which name internal addresses and belong in logs only. */
	readonly summary: string;
};

function createErrorClass<Props extends Readonly<Record<string, unknown>>>(name: `${string}Error`, props: Props): ErrorClass<Props> {
	// The library prepends a cause's message to `message` and then removes the cause.
	const custom = class extends CrocusError {
		constructor(message: string, options?: ErrorOptions<Props>) {
			super(message, options);
			// An error whose cause is of the same class is the cause itself, with its message extended.
			Object.defineProperty(this, 'summary', {value: message, configurable: true});
		}
	};
	return CrocusError.subclass(name, {props, custom}) as unknown as ErrorClass<Props>;
}

/** The store could not be reached and the call had no effect. */
export const StoreUnavailableError = createErrorClass('StoreUnavailableError', {});

/** The store's answer was lost: the write may or may not have taken effect. */
export const StoreUncertainError = createErrorClass('StoreUncertainError', {});

/** A compare-and-swap found a revision other than the expected one; nothing was written. */
export const StoreConflictError = createErrorClass('StoreConflictError', {});

/** Another holder has the lease. */
export const LeaseHeldError = createErrorClass('LeaseHeldError', {});

/** The process no longer holds the authority that the step requires. */
export const AuthorityLostError = createErrorClass('AuthorityLostError', {});

/** An engine refused an order because it has seen a higher fencing number. */
export const StaleFenceError = createErrorClass('StaleFenceError', {});

/** An engine refused an order for a reason other than the fencing number. */
export const OrderRefusedError = createErrorClass('OrderRefusedError', {});

/** An operation was not accepted; `reason` is one of the refusal reasons of operations. */
export const OperationRefusedError = createErrorClass('OperationRefusedError', {reason: 'conflict'});

/** An order must not be sent yet: earlier sends to the engine may still arrive. */
export const OrderBlockedError = createErrorClass('OrderBlockedError', {senders: [] as readonly string[]});

/** The text of a deployment configuration or of a process's settings is invalid; nothing was applied. */
export const InvalidTextError = createErrorClass('InvalidTextError', {problems: [] as readonly ValidationProblem[]});

/** A newer configuration than the one that the operator edited has been accepted; nothing was written. */
export const ConfigurationConflictError = createErrorClass('ConfigurationConflictError', {
	version: 0, base: 0, text: '', difference: '',
});

/** An upstream's answer ended before its end marker. */
export const BrokenAnswerError = createErrorClass('BrokenAnswerError', {});

/** No byte of a request was sent to the upstream: the connection could not be opened. */
export const NotSentError = createErrorClass('NotSentError', {});

/** An answer carries another request's id or an unexpected offset. */
export const ForeignAnswerError = createErrorClass('ForeignAnswerError', {});

/**
The request was not run: no upstream has started it or ever will. `retryAfterMs` is the time after which the caller may
retry, in milliseconds. `isUnreached` is set when no connection to the upstream could be used.
*/
export const NotRunError = createErrorClass('NotRunError', {reason: 'unavailable', retryAfterMs: 1000, isUnreached: false});

/** It is not known whether the request ran, and cannot be found out. */
export const UnknownOutcomeError = createErrorClass('UnknownOutcomeError', {});

/** The caller's request is malformed; it was not run. */
export const BadRequestError = createErrorClass('BadRequestError', {problems: [] as readonly ValidationProblem[]});

/** No byte of an answer arrived for longer than its limit; the connection may be dead. */
export const SilentAnswerError = createErrorClass('SilentAnswerError', {});

/** The deadline passed after the request was sent. `retryAfterMs` is the time after which the caller may retry, in milliseconds. */
export const DeadlineError = createErrorClass('DeadlineError', {retryAfterMs: 1000});

/** The caller closed its connection. */
export const CallerGoneError = createErrorClass('CallerGoneError', {});

/** The caller read its answer too slowly and was disconnected. */
export const SlowCallerError = createErrorClass('SlowCallerError', {});

/** A call with the same idempotency key is in progress; whether it runs is not known yet. */
export const KeyPendingError = createErrorClass('KeyPendingError', {retryAfterMs: 1000});

/** None of the entries that were asked could be reached. */
export const EntryUnreachableError = createErrorClass('EntryUnreachableError', {});

/** An entry refused an operator's request; `body` is the body of its answer. */
export const EntryRefusedError = createErrorClass('EntryRefusedError', {status: 0, type: '', body: {}});

/** A requested operation is in progress and has not ended within the time given. */
export const StillWaitingError = createErrorClass('StillWaitingError', {});

/** A message from a peer is malformed, too long or too deeply nested. */
export const BadFrameError = createErrorClass('BadFrameError', {});

/** One problem in a configuration text, a settings text or a request body. */
export type ValidationProblem = {
	/** Path of the key, such as `services.contracts.deadline_ms`. */
	readonly path: string;
	/** Line number in the text, starting at 1; 0 if unknown. */
	readonly line: number;
	/** What the text has there. */
	readonly found: string;
	/** What the key allows. */
	readonly allowed: string;
};
