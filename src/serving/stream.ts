import {
	DeadlineError, NotRunError, refusalReason, retryReason, UnknownOutcomeError,
} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {Placement, Router, RoutingRequest} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EndEvent, GenerateEvent} from '../upstreams/index.js';
import {Attempt} from './attempt.js';
import type {AnswerCheck} from './check.js';
import {decideFailure} from './failure.js';
import type {Failure} from './failure.js';
import type {StreamJob, StreamParts} from './job.js';
import {importPrefilled} from './kv.js';

const maxAttempts = 8;
/** Before engines that have failed a broken answer are asked again, in milliseconds. */
const secondRoundPauseMs = 200;

type Progress = {
	offset: number;
	/** Engine to be asked again over a new connection. */
	held: Placement | undefined;
	/** Whether an engine may have run any part of the request. */
	hasRun: boolean;
	attempts: number;
	readonly excluded: Set<string>;
	/** Engines that were asked again already. */
	readonly resumed: Set<string>;
};

/**
Serves one request to a model: places it, passes its events on, and resumes it at its offset when it breaks or
stays silent, on a new connection or at another engine. Returns the end marker, without which no answer is whole.
Throws `NotRunError` only when no engine has started any part of it.
*/
export function * serveStream(job: StreamJob, parts: StreamParts): Procedure<EndEvent> {
	const progress: Progress = {
		offset: job.offset, held: job.held, hasRun: job.offset > 0, attempts: 0, excluded: new Set(), resumed: new Set(),
	};
	for (;;) {
		const isFresh = progress.held !== undefined;
		const placement = yield * choosePlacement(job, parts, progress);
		const attempt = new Attempt(job, placement, parts, isFresh);
		try {
			return yield * runAttempt(attempt, job, {parts, progress});
		} catch (error) {
			yield * onFailure(error, attempt, {job, parts, progress});
		}
	}
}

/**
Serves one attempt for another entry that relays it here: the engine is given, and what breaks is told to that entry,
which alone tries again. Throws `NotRunError` when the engine has closed.
*/
export function * serveRelayed(job: StreamJob, placement: Placement, parts: StreamParts): Procedure<EndEvent> {
	const progress: Progress = {
		offset: job.offset, held: undefined, hasRun: false, attempts: 0, excluded: new Set(), resumed: new Set(),
	};
	const attempt = new Attempt(job, placement, parts, false);
	try {
		return yield * runAttempt(attempt, job, {parts, progress});
	} catch (error) {
		const {outcome} = decideFailure(error);
		attempt.finish(outcome);
		throw error;
	}
}

type AttemptContext = {readonly parts: StreamParts; readonly progress: Progress};

function * choosePlacement(job: StreamJob, parts: StreamParts, progress: Progress): Procedure<Placement> {
	const {held} = progress;
	progress.held = undefined;
	if (held && parts.router.isAvailable(held.upstream.id)) {
		return held;
	}

	try {
		return yield * callStep('choose a placement', () => parts.router.choosePlacement(job.work, progress.excluded));
	} catch (error) {
		if (!(error instanceof NotRunError) || !progress.hasRun || progress.excluded.size === 0) {
			throw wrapRefusal(error, progress);
		}
	}

	// A caller has a part of this answer already: an engine that failed it once may be back.
	progress.excluded.clear();
	progress.resumed.clear();
	yield * callStep('wait for an engine', async () => parts.timers.sleep(secondRoundPauseMs, parts.signal));
	try {
		return yield * callStep('choose a placement', () => parts.router.choosePlacement(job.work, progress.excluded));
	} catch (error) {
		throw wrapRefusal(error, progress);
	}
}

function * runAttempt(attempt: Attempt, job: StreamJob, {parts, progress}: AttemptContext): Procedure<EndEvent> {
	const kv = progress.offset === 0 ? yield * importPrefilled(attempt, job, parts) : undefined;
	progress.attempts++;
	yield * callStep('send the request', () => {
		attempt.start(progress.offset, kv);
	});
	for (;;) {
		const events = yield * callStep('read events', async () => attempt.readEvents());
		const last = events.at(-1);
		if (!last) {
			continue;
		}

		yield * callStep('pass the events on', async () => parts.onEvents(events, attempt.placement));
		if (last.kind === 'end') {
			attempt.finish(placementOutcome.done);
			return last;
		}

		progress.offset = last.offset + 1;
	}
}

type FailureContext = AttemptContext & {readonly job: StreamJob};

function * onFailure(error: unknown, attempt: Attempt, {job, parts, progress}: FailureContext): Procedure<void> {
	const failure = decideFailure(error);
	const {upstream} = attempt.placement;
	const wasSent = attempt.isSent;
	progress.hasRun ||= wasSent && failure.outcome !== placementOutcome.notRun;
	if (failure.reason === retryReason.foreignAnswer) {
		parts.metrics.count('dropped', 'foreign_event');
	}

	const isLast = failure.reason === undefined || parts.signal.aborted || progress.attempts >= maxAttempts;
	const canAskAgain = !isLast && failure.isHeld && (yield * checkHeld(failure, attempt, {parts, progress}));
	// An engine that answers may have a queue: it keeps the request, and that is no failure of the engine.
	const isKept = canAskAgain && failure.reason === retryReason.silentStream;
	attempt.finish(isKept ? placementOutcome.cancelled : failure.outcome);
	if (wasSent && failure.outcome !== placementOutcome.notRun && (isLast || !canAskAgain)) {
		yield * callStep('cancel at the engine', () => {
			void attempt.cancel();
		});
	}

	if (isLast || failure.reason === undefined) {
		throw wrapRefusal(error, progress);
	}

	checkDeadline(job, parts, {progress, cause: error});
	if (!isKept) {
		checkBudget(failure.reason, {job, parts, progress}, error);
	}

	parts.metrics.countRetry(failure.reason);
	if (canAskAgain) {
		progress.resumed.add(upstream.id);
		progress.held = attempt.placement;
	} else {
		progress.excluded.add(upstream.id);
	}
}

/** Finds out whether an engine may be asked again for a request that it may hold: once, and after silence only if it answers. */
function * checkHeld(failure: Failure, attempt: Attempt, {parts, progress}: AttemptContext): Procedure<boolean> {
	const {upstream} = attempt.placement;
	if (progress.resumed.has(upstream.id) || !parts.router.isAvailable(upstream.id)) {
		return false;
	}

	return failure.reason !== retryReason.silentStream
		|| (yield * callStep('ask the engine whether it answers', async () => attempt.isAnswering()));
}

/**
The budget counts every further attempt. It does not end an answer of which the caller has a part: the caller would
ask for the whole of it again, which is more work than the rest. Nor does it count an engine that closed before the send,
or a new connection to an engine that still holds the request.
*/
function checkBudget(reason: RetryReason, {job, parts, progress}: FailureContext, error: unknown): void {
	const isWithin = reason === retryReason.closedBeforeSend || parts.router.tryRetry(job.work.service);
	if (!isWithin && progress.offset === 0) {
		throw wrapRefusal(error, progress);
	}
}

function checkDeadline(job: StreamJob, parts: StreamParts, {progress, cause}: {readonly progress: Progress; readonly cause: unknown}): void {
	if (parts.timers.getNow() < job.work.due) {
		return;
	}

	throw progress.hasRun
		? new DeadlineError('the deadline has passed', {cause})
		: new NotRunError('the deadline has passed', {cause, props: {reason: refusalReason.deadline}});
}

/** A refusal may say "not run" only as long as no engine has started the request. */
function wrapRefusal(error: unknown, progress: Progress): unknown {
	return error instanceof NotRunError && progress.hasRun
		? new UnknownOutcomeError('the answer broke off and no engine can take it up', {cause: error})
		: error;
}
