import ModernError from 'modern-errors';
import type {RefusalReason} from './reasons.js';

/** Base of every failure of the system. */
export const CrocusError = ModernError.subclass('CrocusError');

type ErrorClass<Props> = new (message: string, options?: {readonly cause?: unknown; readonly props?: Partial<Props>}) => Error & Readonly<Props>;

function createErrorClass<Props extends Readonly<Record<string, unknown>>>(name: `${string}Error`, props: Props): ErrorClass<Props> {
	return CrocusError.subclass(name, {props}) as unknown as ErrorClass<Props>;
}

/** The store could not be reached and the call had no effect. */
export const StoreUnavailableError = createErrorClass('StoreUnavailableError', {});

/** The store's answer was lost: the write may or may not have taken effect. */
export const StoreUncertainError = createErrorClass('StoreUncertainError', {});

/** A compare-and-swap met another revision than the expected one; nothing was written. */
export const StoreConflictError = createErrorClass('StoreConflictError', {});

/** Another holder has the lease. */
export const LeaseHeldError = createErrorClass('LeaseHeldError', {});

/** The process no longer has the authority that the step needs. */
export const AuthorityLostError = createErrorClass('AuthorityLostError', {});

/** An engine refused an order because it has seen a higher fencing number. */
export const StaleFenceError = createErrorClass('StaleFenceError', {});

/** An engine refused an order for another reason than the fencing number. */
export const OrderRefusedError = createErrorClass('OrderRefusedError', {});

/** An operation was not taken in; `reason` is one of the operations' refusals. */
export const OperationRefusedError = createErrorClass('OperationRefusedError', {reason: 'conflict'});

/** An order may not go out yet: earlier sends to the engine may still arrive. */
export const OrderBlockedError = createErrorClass('OrderBlockedError', {senders: [] as readonly string[]});

/** The text of the deployment or of a process's settings is not valid; nothing was applied. */
export const InvalidTextError = createErrorClass('InvalidTextError', {problems: [] as readonly ValidationProblem[]});

/** Another configuration was accepted since the one that the operator edited; nothing was written. */
export const ConfigurationConflictError = createErrorClass('ConfigurationConflictError', {
	version: 0, base: 0, text: '', difference: '',
});

/** An upstream's answer broke off before its end marker. */
export const BrokenAnswerError = createErrorClass('BrokenAnswerError', {});

/** No byte of a request left for the upstream: the connection could not be opened. */
export const NotSentError = createErrorClass('NotSentError', {});

/** An answer carries another request's id or an offset that was not expected. */
export const ForeignAnswerError = createErrorClass('ForeignAnswerError', {});

/** The request was not run: no upstream has started it or ever will. */
export const NotRunError = createErrorClass('NotRunError', {reason: 'unavailable', retryAfterMs: 1000});

/** Nobody can tell whether the request ran. */
export const UnknownOutcomeError = createErrorClass('UnknownOutcomeError', {});

/** The caller's request is malformed; it was not run. */
export const BadRequestError = createErrorClass('BadRequestError', {problems: [] as readonly ValidationProblem[]});

/** An answer stayed silent for longer than its limit; the connection may be dead. */
export const SilentAnswerError = createErrorClass('SilentAnswerError', {});

/** The deadline passed after the request was sent; `retryAfterMs` says when to come back. */
export const DeadlineError = createErrorClass('DeadlineError', {retryAfterMs: 1000});

/** The caller closed its connection. */
export const CallerGoneError = createErrorClass('CallerGoneError', {});

/** The caller took its answer too slowly and was ended. */
export const SlowCallerError = createErrorClass('SlowCallerError', {});

/** A call with the same idempotency key is in progress; whether it runs is not known yet. */
export const KeyPendingError = createErrorClass('KeyPendingError', {retryAfterMs: 1000});

/** None of the entries that were asked could be reached. */
export const EntryUnreachableError = createErrorClass('EntryUnreachableError', {});

/** An entry refused what an operator asked; `body` is what it answered. */
export const EntryRefusedError = createErrorClass('EntryRefusedError', {status: 0, type: '', body: {}});

/** What was asked is under way and has not ended within the time given. */
export const StillWaitingError = createErrorClass('StillWaitingError', {});

/** A message from a peer is malformed, too long or too deep. */
export const BadFrameError = createErrorClass('BadFrameError', {});

/** One fault in a text. */
export type ValidationProblem = {
	/** Path of the key, such as `services.contracts.deadline_ms`. */
	readonly path: string;
	/** Line in the text, from 1; 0 when unknown. */
	readonly line: number;
	/** What stands there. */
	readonly found: string;
	/** What may stand there. */
	readonly allowed: string;
};
