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
import type {AttemptFailure} from './failure.js';
import type {StreamDependencies, StreamJob} from './job.js';
import {importPrefilledKv} from './kv.js';

const maxAttempts = 8;
/** Engines that may crash under one request: the next one would probably crash too, and take the requests of others with it. */
const maxCrashes = 2;
/** Delay before engines that have already failed an answer are tried again, in milliseconds. */
const secondRoundDelayMs = 200;

type StreamProgress = {
	offset: number;
	/** Engine at which to resume on a new connection. */
	resumePlacement: Placement | undefined;
	/** Whether an engine may have run any part of the request. */
	mayHaveRun: boolean;
	attempts: number;
	/** Engines that are not to be chosen again. */
	readonly excludedIds: Set<string>;
	/** Engines at which the request was resumed already. */
	readonly resumedIds: Set<string>;
	/** Number of engines that crashed under the request: their answer broke off, and they accepted no connection afterwards. */
	crashes: number;
};

/**
Serves a generation: chooses a placement and passes the engine's events on. An answer that breaks off or stays silent is
resumed at its offset, on a new connection to the same engine or at another engine. Returns the end marker, without
which an answer is incomplete. Throws `NotRunError` only when no engine has started any part of the request.
*/
export function * serveStream(job: StreamJob, dependencies: StreamDependencies): Procedure<EndEvent> {
	const progress: StreamProgress = {
		offset: job.offset, resumePlacement: job.resumePlacement, mayHaveRun: job.offset > 0, attempts: 0, excludedIds: new Set(), resumedIds: new Set(), crashes: 0,
	};
	for (;;) {
		const isResume = progress.resumePlacement !== undefined;
		const placement = yield * choosePlacement(job, dependencies, progress);
		const attempt = new Attempt(job, placement, dependencies, isResume);
		try {
			return yield * runAttempt(attempt, job, {dependencies, progress});
		} catch (error) {
			yield * onFailure(error, attempt, {job, dependencies, progress});
		}
	}
}

/**
Serves one attempt that another entry relays to this one. That entry chose the engine, and it alone tries again: errors
are thrown for it, not retried here. Throws `NotRunError` when the engine has closed.
*/
export function * serveRelayed(job: StreamJob, placement: Placement, dependencies: StreamDependencies): Procedure<EndEvent> {
	const progress: StreamProgress = {
		offset: job.offset, resumePlacement: undefined, mayHaveRun: false, attempts: 0, excludedIds: new Set(), resumedIds: new Set(), crashes: 0,
	};
	const attempt = new Attempt(job, placement, dependencies, false);
	try {
		return yield * runAttempt(attempt, job, {dependencies, progress});
	} catch (error) {
		const {outcome} = decideFailure(error);
		attempt.finish(outcome);
		throw error;
	}
}

type AttemptContext = {readonly dependencies: StreamDependencies; readonly progress: StreamProgress};

function * choosePlacement(job: StreamJob, dependencies: StreamDependencies, progress: StreamProgress): Procedure<Placement> {
	const {resumePlacement} = progress;
	progress.resumePlacement = undefined;
	if (resumePlacement && dependencies.router.isAvailable(resumePlacement.upstream.id)) {
		return resumePlacement;
	}

	try {
		return yield * callStep('choose a placement', () => dependencies.router.choosePlacement(job.request, progress.excludedIds));
	} catch (error) {
		if (!(error instanceof NotRunError) || !progress.mayHaveRun || progress.excludedIds.size === 0) {
			throw wrapError(error, progress);
		}
	}

	// The caller may already have a part of this answer, so it does not fail yet: the engines that failed may have recovered and are allowed again.
	progress.excludedIds.clear();
	progress.resumedIds.clear();
	yield * callStep('wait for an engine', async () => dependencies.timers.sleep(secondRoundDelayMs, dependencies.signal));
	try {
		return yield * callStep('choose a placement', () => dependencies.router.choosePlacement(job.request, progress.excludedIds));
	} catch (error) {
		throw wrapError(error, progress);
	}
}

function * runAttempt(attempt: Attempt, job: StreamJob, {dependencies, progress}: AttemptContext): Procedure<EndEvent> {
	const kvHandle = progress.offset === 0 ? yield * importPrefilledKv(attempt, job, dependencies) : undefined;
	progress.attempts++;
	yield * callStep('send the request', () => {
		attempt.start(progress.offset, kvHandle);
	});
	for (;;) {
		const events = yield * callStep('read events', async () => attempt.readEvents());
		const lastEvent = events.at(-1);
		if (!lastEvent) {
			continue;
		}

		yield * callStep('pass the events on', async () => dependencies.onEvents(events, attempt.placement));
		if (lastEvent.kind === 'end') {
			attempt.finish(placementOutcome.done);
			return lastEvent;
		}

		progress.offset = lastEvent.offset + 1;
	}
}

type FailureContext = AttemptContext & {readonly job: StreamJob};

function * onFailure(error: unknown, attempt: Attempt, {job, dependencies, progress}: FailureContext): Procedure<void> {
	const failure = decideFailure(error);
	const {upstream} = attempt.placement;
	const wasSent = attempt.isSent;
	progress.mayHaveRun ||= wasSent && failure.outcome !== placementOutcome.notRun;
	if (failure.retryReason === retryReason.foreignAnswer) {
		dependencies.metrics.count('dropped', 'foreign_event');
	}

	progress.crashes += failure.retryReason === retryReason.connectFailed && progress.resumedIds.has(upstream.id) ? 1 : 0;
	const isLast = failure.retryReason === undefined || progress.crashes >= maxCrashes || dependencies.signal.aborted || progress.attempts >= maxAttempts;
	const mayResume = !isLast && failure.mayBeHeld && (yield * isResumable(failure, attempt, {dependencies, progress}));
	// An engine that is silent but answers a probe may have queued the request: it keeps the request, and no failure is counted.
	const isSilentButAlive = mayResume && failure.retryReason === retryReason.silentStream;
	attempt.finish(isSilentButAlive ? placementOutcome.cancelled : failure.outcome);
	if (wasSent && failure.outcome !== placementOutcome.notRun && (isLast || !mayResume)) {
		yield * callStep('cancel at the engine', () => {
			void attempt.cancel();
		});
	}

	if (isLast || failure.retryReason === undefined) {
		throw wrapError(error, progress);
	}

	checkDeadline(job, dependencies, {progress, cause: error});
	if (!isSilentButAlive) {
		checkRetryBudget(failure.retryReason, {job, dependencies, progress}, error);
	}

	dependencies.metrics.countRetry(failure.retryReason);
	if (mayResume) {
		progress.resumedIds.add(upstream.id);
		progress.resumePlacement = attempt.placement;
	} else {
		progress.excludedIds.add(upstream.id);
	}
}

/** Whether a request may be resumed at the engine that may hold it: once for each engine, and after silence only if the engine answers a probe. */
function * isResumable(failure: AttemptFailure, attempt: Attempt, {dependencies, progress}: AttemptContext): Procedure<boolean> {
	const {upstream} = attempt.placement;
	if (progress.resumedIds.has(upstream.id) || !dependencies.router.isAvailable(upstream.id)) {
		return false;
	}

	return failure.retryReason !== retryReason.silentStream
		|| (yield * callStep('ask the engine whether it answers', async () => attempt.isAnswering()));
}

/**
Charges a further attempt to the retry budget, and throws when the budget is spent. An answer of which the caller has a
part is resumed all the same: the caller would otherwise request all of it again, which is more work than the rest.
An attempt after an engine that closed before the send is not charged; nor is one that resumes at an engine that was
silent but answered a probe, for which this is not called.
*/
function checkRetryBudget(reason: RetryReason, {job, dependencies, progress}: FailureContext, error: unknown): void {
	const isAllowed = reason === retryReason.closedBeforeSend || dependencies.router.tryRetry(job.request.service);
	if (!isAllowed && progress.offset === 0) {
		throw wrapError(error, progress);
	}
}

function checkDeadline(job: StreamJob, dependencies: StreamDependencies, {progress, cause}: {readonly progress: StreamProgress; readonly cause: unknown}): void {
	if (dependencies.timers.getNow() < job.request.deadlineAt) {
		return;
	}

	throw progress.mayHaveRun
		? new DeadlineError('the deadline has passed', {cause})
		: new NotRunError('the deadline has passed', {cause, props: {reason: refusalReason.deadline}});
}

/** Replaces a `NotRunError` once an engine may have started the request: it can no longer be reported as not run. */
function wrapError(error: unknown, progress: StreamProgress): unknown {
	return error instanceof NotRunError && progress.mayHaveRun
		? new UnknownOutcomeError('the answer broke off and no engine can take it up', {cause: error})
		: error;
}
