import {
	DeadlineError, NotRunError, refusalReason, retryReason, UnknownOutcomeError,
} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {Placement, Router, Work} from '../routing/index.js';
import type {TimerService} from '../timers/index.js';
import type {EndEvent, GenerateEvent} from '../upstreams/index.js';
import {Attempt} from './attempt.js';
import type {AnswerCheck} from './check.js';
import {decideFailure} from './failure.js';
import type {AttemptFailure} from './failure.js';
import type {StreamJob, StreamDependencies} from './job.js';
import {importPrefilledKv} from './kv.js';

const maxAttempts = 8;
/** Before engines that have failed a broken answer are asked again, in milliseconds. */
const secondRoundDelayMs = 200;

type StreamProgress = {
	offset: number;
	/** Engine to be asked again over a new connection. */
	resumePlacement: Placement | undefined;
	/** Whether an engine may have run any part of the request. */
	mayHaveRun: boolean;
	attempts: number;
	readonly excludedIds: Set<string>;
	/** Engines that were asked again already. */
	readonly resumedIds: Set<string>;
};

/**
Serves one request to a model: places it, passes its events on, and resumes it at its offset when it breaks or
stays silent, on a new connection or at another engine. Returns the end marker, without which no answer is whole.
Throws `NotRunError` only when no engine has started any part of it.
*/
export function * serveStream(job: StreamJob, dependencies: StreamDependencies): Procedure<EndEvent> {
	const progress: StreamProgress = {
		offset: job.offset, resumePlacement: job.resumePlacement, mayHaveRun: job.offset > 0, attempts: 0, excludedIds: new Set(), resumedIds: new Set(),
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
Serves one attempt for another entry that relays it here: the engine is given, and what breaks is told to that entry,
which alone tries again. Throws `NotRunError` when the engine has closed.
*/
export function * serveRelayed(job: StreamJob, placement: Placement, dependencies: StreamDependencies): Procedure<EndEvent> {
	const progress: StreamProgress = {
		offset: job.offset, resumePlacement: undefined, mayHaveRun: false, attempts: 0, excludedIds: new Set(), resumedIds: new Set(),
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
	if (resumePlacement && dependencies.router.isOpen(resumePlacement.upstream.id)) {
		return resumePlacement;
	}

	try {
		return yield * callStep('choose a placement', () => dependencies.router.choosePlacement(job.request, progress.excludedIds));
	} catch (error) {
		if (!(error instanceof NotRunError) || !progress.mayHaveRun || progress.excludedIds.size === 0) {
			throw wrapError(error, progress);
		}
	}

	// A caller has a part of this answer already: an engine that failed it once may be back.
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

	const isLast = failure.retryReason === undefined || dependencies.signal.aborted || progress.attempts >= maxAttempts;
	const mayResume = !isLast && failure.mayBeHeld && (yield * isResumable(failure, attempt, {dependencies, progress}));
	// An engine that answers may have a queue: it keeps the request, and that is no failure of the engine.
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

/** Finds out whether an engine may be asked again for a request that it may hold: once, and after silence only if it answers. */
function * isResumable(failure: AttemptFailure, attempt: Attempt, {dependencies, progress}: AttemptContext): Procedure<boolean> {
	const {upstream} = attempt.placement;
	if (progress.resumedIds.has(upstream.id) || !dependencies.router.isOpen(upstream.id)) {
		return false;
	}

	return failure.retryReason !== retryReason.silentStream
		|| (yield * callStep('ask the engine whether it answers', async () => attempt.isAnswering()));
}

/**
The budget counts every further attempt. It does not end an answer of which the caller has a part: the caller would
ask for the whole of it again, which is more work than the rest. Nor does it count an engine that closed before the send,
or a new connection to an engine that still holds the request.
*/
function checkRetryBudget(reason: RetryReason, {job, dependencies, progress}: FailureContext, error: unknown): void {
	const isAllowed = reason === retryReason.closedBeforeSend || dependencies.router.tryRetry(job.request.service);
	if (!isAllowed && progress.offset === 0) {
		throw wrapError(error, progress);
	}
}

function checkDeadline(job: StreamJob, dependencies: StreamDependencies, {progress, cause}: {readonly progress: StreamProgress; readonly cause: unknown}): void {
	if (dependencies.timers.getNow() < job.request.due) {
		return;
	}

	throw progress.mayHaveRun
		? new DeadlineError('the deadline has passed', {cause})
		: new NotRunError('the deadline has passed', {cause, props: {reason: refusalReason.deadline}});
}

/** A refusal may say "not run" only as long as no engine has started the request. */
function wrapError(error: unknown, progress: StreamProgress): unknown {
	return error instanceof NotRunError && progress.mayHaveRun
		? new UnknownOutcomeError('the answer broke off and no engine can take it up', {cause: error})
		: error;
}
