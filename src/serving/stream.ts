import {
	CallerGoneError, DeadlineError, NotRunError, refusalReason, retryReason, SilentAnswerError, UnknownOutcomeError,
} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {Placement} from '../routing/index.js';
import type {EndEvent, GenerateEvent} from '../upstreams/index.js';
import {Attempt} from './attempt.js';
import {decideFailure} from './failure.js';
import type {AttemptFailure} from './failure.js';
import type {StreamDependencies, StreamJob} from './job.js';
import {importPrefilledKv} from './kv.js';
import {OpenAttempts} from './openattempts.js';

/** Attempts at one request. Refusals of an answer that may have begun don't count. */
const maxAttempts = 8;
/** Engines that may crash under one request: the next one would probably crash too, and take the requests of others with it. */
const maxCrashes = 2;
/** Delay before engines are looked for again, in milliseconds; it doubles with each time. */
const minRoundDelayMs = 200;
const maxRoundDelayMs = 2000;
/** Longest time for which two engines work on one request, in milliseconds. */
const maxOverlapMs = 350;

/** What became of an answer whose engine was silent for too long; each value is a label of the counter. */
const silenceOutcome = {
	/** Its engine went on before another attempt had delivered anything. */
	wentOn: 'went_on',
	/** Another attempt has delivered the next event. */
	replaced: 'replaced',
	/** No further attempt can be made for now: the engine is waited for. */
	waits: 'waits',
} as const;

type SilenceOutcome = (typeof silenceOutcome)[keyof typeof silenceOutcome];

const silenceDetails: Readonly<Record<SilenceOutcome, string>> = {
	[silenceOutcome.wentOn]: 'it has gone on', [silenceOutcome.replaced]: 'another attempt has taken over', [silenceOutcome.waits]: 'no other attempt for now; waits for it',
};

type StreamProgress = {
	offset: number;
	/** Engine at which to resume on a new connection. */
	resumePlacement: Placement | undefined;
	/** Whether an engine may have run any part of the request. */
	mayHaveRun: boolean;
	/** Whether a placement was chosen before. */
	hasChosen: boolean;
	attempts: number;
	/** Monotonic time from which a further attempt is to be made; infinite while none is wanted. */
	attemptDueAt: number;
	/** Monotonic time until which attempts at several engines may be open, in milliseconds; infinite while they are at one. */
	overlapEndsAt: number;
	/** Why the next attempt is made; `undefined` for the first. */
	retryReason: RetryReason | undefined;
	/** Whether the next attempt is still to be charged to the retry budget. */
	isRetryUnpaid: boolean;
	/** Times that no engine was found or the retry budget was spent, since the last event. */
	rounds: number;
	/** Engines that are not to be chosen again. */
	readonly excludedIds: Set<string>;
	/** Engines at which the request was resumed already. */
	readonly resumedIds: Set<string>;
	/** Number of engines that crashed under the request: their answer broke off, and they accepted no connection afterwards. */
	crashes: number;
	/** Attempts whose answers may still come. */
	readonly open: OpenAttempts;
	/** Those of them that were silent for too long and have delivered nothing since. */
	readonly silent: Set<Attempt>;
};

type Serving = {readonly job: StreamJob; readonly dependencies: StreamDependencies; readonly progress: StreamProgress};

/**
Serves a generation: chooses a placement and passes the engine's events on. An answer that breaks off or stays silent is
resumed at its offset, on a new connection to the same engine or at another engine. A silent answer is read on until another
attempt has delivered the next event: an engine may fall silent for a while and go on. Returns the end marker, without
which an answer is incomplete. Throws `NotRunError` only when no engine has started any part of the request.
*/
export function * serveStream(job: StreamJob, dependencies: StreamDependencies): Procedure<EndEvent> {
	const serving: Serving = {job, dependencies, progress: createProgress(job, dependencies)};
	const {progress} = serving;
	try {
		for (;;) {
			if (progress.open.size === 0 || dependencies.timers.getNow() >= progress.attemptDueAt) {
				yield * startAttempt(serving);
			}

			const end = progress.open.size > 0 ? yield * readEvents(serving) : undefined;
			if (end) {
				return end;
			}
		}
	} catch (error) {
		yield * closeAll(serving, error);
		throw wrapError(error, progress);
	}
}

/**
Serves one attempt that another entry relays to this one. That entry chose the engine, and it alone tries again: errors
are thrown for it, not retried here, and it decides how long a silent answer is waited for. Throws `NotRunError` when the engine has closed.
*/
export function * serveRelayed(job: StreamJob, placement: Placement, dependencies: StreamDependencies): Procedure<EndEvent> {
	const progress = createProgress(job, dependencies);
	const attempt = new Attempt(job, placement, dependencies, false);
	try {
		yield * sendAttempt(attempt, {job, dependencies, progress});
		for (;;) {
			const end = yield * readRelayed(attempt, {job, dependencies, progress});
			if (end) {
				return end;
			}
		}
	} catch (error) {
		const {outcome} = decideFailure(error);
		attempt.finish(outcome);
		throw error;
	}
}

function createProgress(job: StreamJob, {timers}: StreamDependencies): StreamProgress {
	return {
		offset: job.offset,
		resumePlacement: job.resumePlacement,
		mayHaveRun: job.offset > 0,
		hasChosen: false,
		attempts: 0,
		attemptDueAt: Number.POSITIVE_INFINITY,
		overlapEndsAt: Number.POSITIVE_INFINITY,
		retryReason: undefined,
		isRetryUnpaid: false,
		rounds: 0,
		excludedIds: new Set(),
		resumedIds: new Set(),
		crashes: 0,
		open: new OpenAttempts(timers),
		silent: new Set(),
	};
}

/** Makes the next attempt. When it can't be made yet, sets the time for it and, if no answer is open, waits. */
function * startAttempt(serving: Serving): Procedure<void> {
	const {job, dependencies, progress} = serving;
	progress.attemptDueAt = Number.POSITIVE_INFINITY;
	if (progress.isRetryUnpaid && !dependencies.router.tryRetry(job.request.service)) {
		scheduleAttempt(serving);
		return;
	}

	progress.isRetryUnpaid = false;
	const isResume = progress.resumePlacement !== undefined;
	const placement = yield * choosePlacement(serving);
	if (!placement) {
		return;
	}

	progress.hasChosen = true;
	const attempt = new Attempt(job, placement, dependencies, isResume || progress.open.hasEngine(placement.upstream.id));
	try {
		yield * sendAttempt(attempt, serving);
	} catch (error) {
		yield * onFailure(error, attempt, serving);
	}
}

/** Sends an attempt; not when there is something to take from an earlier one meanwhile. */
function * sendAttempt(attempt: Attempt, {job, dependencies, progress}: Serving): Procedure<void> {
	const kvHandle = progress.offset === 0 ? yield * importPrefilledKv(attempt, job, {dependencies, endSignal: progress.open.createNewsSignal()}) : undefined;
	if (progress.open.findNews()) {
		attempt.finish(placementOutcome.cancelled);
		return;
	}

	progress.attempts++;
	yield * callStep('send the request', () => {
		attempt.start(progress.offset, kvHandle, () => {
			progress.open.onNews();
		});
		progress.open.add(attempt);
	});
	if (progress.open.hasSeveralEngines) {
		progress.overlapEndsAt = Math.min(progress.overlapEndsAt, dependencies.timers.getNow() + maxOverlapMs);
	}

	if (progress.retryReason !== undefined) {
		dependencies.metrics.countRetry(progress.retryReason);
		progress.retryReason = undefined;
	}
}

/** Chooses where to send the next attempt; `undefined` when no engine takes an answer that may have begun, after which they are looked for again. */
function * choosePlacement(serving: Serving): Procedure<Placement | undefined> {
	const {job, dependencies, progress} = serving;
	const {resumePlacement} = progress;
	progress.resumePlacement = undefined;
	if (resumePlacement && dependencies.router.isAvailable(resumePlacement.upstream.id)) {
		// A placement of its own: the router tells two attempts at one engine apart by it.
		return {...resumePlacement};
	}

	try {
		return yield * callStep('choose a placement', () => dependencies.router.choosePlacement(job.request, progress.excludedIds, progress.hasChosen));
	} catch (error) {
		if (!(error instanceof NotRunError) || !progress.mayHaveRun || !progress.hasChosen) {
			throw error;
		}

		yield * waitForEngine(error, serving);
		return undefined;
	}
}

/** Has engines looked for again after a delay, which it waits for if no answer is open. Throws `error` when that is at the deadline. */
function * waitForEngine(error: unknown, serving: Serving): Procedure<void> {
	const {job, dependencies, progress} = serving;
	const {timers, signal} = dependencies;
	// The caller may already have a part of this answer, so it does not fail yet: the engines that failed may have recovered and are allowed again.
	progress.excludedIds.clear();
	progress.resumedIds.clear();
	const delayMs = scheduleAttempt(serving);
	if (progress.open.size > 0) {
		countWaits(serving);
	} else {
		const remainingMs = Math.max(0, job.request.deadlineAt - timers.getNow());
		yield * callStep('wait for an engine', async () => timers.sleep(Math.min(delayMs, remainingMs), signal));
		if (signal.aborted) {
			throw new CallerGoneError('the caller has gone');
		}

		if (timers.getNow() >= job.request.deadlineAt) {
			throw error;
		}
	}
}

/** Sets the time at which a further attempt is tried again. Returns the time until then, in milliseconds. */
function scheduleAttempt(serving: Serving): number {
	const {dependencies, progress} = serving;
	const delayMs = Math.min(maxRoundDelayMs, minRoundDelayMs * (2 ** progress.rounds));
	progress.rounds++;
	progress.attemptDueAt = dependencies.timers.getNow() + delayMs;
	return delayMs;
}

/** Reads from the open attempts and passes new events on. Returns the end marker, if it was the last of them. */
function * readEvents(serving: Serving): Procedure<EndEvent | undefined> {
	const {progress} = serving;
	const attempt = yield * callStep('read events', async () => progress.open.waitForNews(Math.min(progress.attemptDueAt, progress.overlapEndsAt)));
	if (!attempt) {
		yield * finishOverlap(serving);
		return undefined;
	}

	const events = takeEvents(attempt, progress);
	if (events instanceof Error) {
		yield * onFailure(events, attempt, serving);
		return undefined;
	}

	return yield * sendEvents(events, attempt, serving);
}

/** Like {@link readEvents}, for the one attempt that is relayed. A silence is only reported to the router. */
function * readRelayed(attempt: Attempt, serving: Serving): Procedure<EndEvent | undefined> {
	const {dependencies, progress} = serving;
	yield * callStep('read events', async () => progress.open.waitForNews());
	const events = takeEvents(attempt, progress);
	if (!(events instanceof Error)) {
		return yield * sendEvents(events, attempt, serving);
	}

	if (!(events instanceof SilentAnswerError)) {
		throw events;
	}

	progress.silent.add(attempt);
	dependencies.router.onSilent(attempt.placement);
	countSilence(serving, attempt, silenceOutcome.waits);
	return undefined;
}

/** Returns the new events of an attempt, or the error that it gave. */
function takeEvents(attempt: Attempt, {offset}: StreamProgress): readonly GenerateEvent[] | Error {
	try {
		return attempt.takeEvents(offset);
	} catch (error) {
		return error as Error;
	}
}

/** Passes an attempt's events on, after which the attempt alone serves the request. Returns the end marker, if it is the last of them. */
function * sendEvents(events: readonly GenerateEvent[], attempt: Attempt, serving: Serving): Procedure<EndEvent | undefined> {
	const {dependencies, progress} = serving;
	const lastEvent = events.at(-1);
	if (!lastEvent) {
		return undefined;
	}

	yield * closeOthers(attempt, serving);
	yield * callStep('pass the events on', async () => dependencies.onEvents(events, attempt.placement));
	if (lastEvent.kind === 'end') {
		attempt.finish(placementOutcome.done);
		for (const other of progress.open.list()) {
			other.finish(placementOutcome.cancelled);
		}

		return lastEvent;
	}

	progress.offset = lastEvent.offset + 1;
	return undefined;
}

/**
Ends the other attempts when one has delivered an event, and cancels at their engines. Later attempts at the same engine stay: it moves the request
to the last connection that came for it.
*/
function * closeOthers(attempt: Attempt, serving: Serving): Procedure<void> {
	const {progress} = serving;
	progress.attemptDueAt = Number.POSITIVE_INFINITY;
	progress.overlapEndsAt = Number.POSITIVE_INFINITY;
	progress.resumePlacement = undefined;
	progress.retryReason = undefined;
	progress.isRetryUnpaid = false;
	progress.rounds = 0;
	if (progress.silent.delete(attempt)) {
		countSilence(serving, attempt, silenceOutcome.wentOn);
	}

	const attempts = progress.open.list();
	const index = attempts.indexOf(attempt);
	yield * closeReplaced(attempts.filter((other, otherIndex) => other !== attempt && (otherIndex < index || !isSameEngine(other, attempt))), attempt, serving);
}

/** Leaves the request to the engine of the latest attempt when several have worked on it for {@link maxOverlapMs} and none has delivered an event. */
function * finishOverlap(serving: Serving): Procedure<void> {
	const {dependencies, progress} = serving;
	const latest = progress.open.list().at(-1);
	if (!latest || dependencies.timers.getNow() < progress.overlapEndsAt) {
		return;
	}

	progress.overlapEndsAt = Number.POSITIVE_INFINITY;
	yield * closeReplaced(progress.open.list().filter(other => !isSameEngine(other, latest)), latest, serving);
}

/** Ends attempts that `attempt` has replaced, and cancels at those of their engines that are not its own. */
function * closeReplaced(others: readonly Attempt[], attempt: Attempt, serving: Serving): Procedure<void> {
	const {progress} = serving;
	for (const other of others) {
		progress.open.delete(other);
		other.finish(placementOutcome.cancelled);
		if (progress.silent.delete(other)) {
			countSilence(serving, other, silenceOutcome.replaced);
		}
	}

	yield * cancelAtEngines(others.filter(other => !isSameEngine(other, attempt)));
}

/** Ends all attempts when the request fails, and cancels at their engines. */
function * closeAll({progress}: Serving, error: unknown): Procedure<void> {
	const failure = decideFailure(error);
	const attempts = progress.open.list();
	for (const attempt of attempts) {
		progress.open.delete(attempt);
		attempt.finish(failure.retryReason === undefined ? failure.outcome : placementOutcome.cancelled);
	}

	yield * cancelAtEngines(attempts);
}

/** Cancels the request, once at each engine of the attempts. */
function * cancelAtEngines(attempts: readonly Attempt[]): Procedure<void> {
	const attemptsByEngine = new Map(attempts.map(attempt => [attempt.placement.upstream.id, attempt]));
	for (const attempt of attemptsByEngine.values()) {
		yield * callStep('cancel at the engine', () => {
			void attempt.cancel();
		});
	}
}

function isSameEngine(left: Attempt, right: Attempt): boolean {
	return left.placement.upstream.id === right.placement.upstream.id;
}

/** Decides what follows from the failure of an attempt. After a silence the attempt stays open. Throws when the request ends with it. */
function * onFailure(error: unknown, attempt: Attempt, serving: Serving): Procedure<void> {
	const {dependencies, progress} = serving;
	const failure = decideFailure(error);
	progress.mayHaveRun ||= attempt.isSent && failure.outcome !== placementOutcome.notRun;
	if (failure.retryReason === retryReason.foreignAnswer) {
		dependencies.metrics.count('dropped', 'foreign_event');
	}

	if (failure.retryReason === undefined) {
		attempt.finish(failure.outcome);
		throw error;
	}

	const isSilent = failure.retryReason === retryReason.silentStream;
	if (isSilent) {
		progress.silent.add(attempt);
	} else {
		progress.open.delete(attempt);
		progress.silent.delete(attempt);
		progress.overlapEndsAt = progress.open.hasSeveralEngines ? progress.overlapEndsAt : Number.POSITIVE_INFINITY;
		// The engine closes the connection when another one comes for the request.
		attempt.finish(progress.open.hasEngine(attempt.placement.upstream.id) ? placementOutcome.cancelled : failure.outcome);
	}

	if (!progress.open.hasActive) {
		yield * planRetry(error, {failure, attempt}, serving);
	}
}

type FailedAttempt = {readonly failure: AttemptFailure; readonly attempt: Attempt};

/** Decides when and where the next attempt is made. Throws `error` when there is to be none and no answer may come any more. */
function * planRetry(error: unknown, {failure, attempt}: FailedAttempt, serving: Serving): Procedure<void> {
	const {job, dependencies, progress} = serving;
	const {upstream} = attempt.placement;
	const isSilent = failure.retryReason === retryReason.silentStream;
	// A router that chooses excluded engines again would have them asked without end.
	const isUncounted = failure.outcome === placementOutcome.notRun && progress.mayHaveRun && !progress.excludedIds.has(upstream.id);
	progress.attempts -= isUncounted ? 1 : 0;
	progress.crashes += failure.retryReason === retryReason.connectFailed && progress.resumedIds.has(upstream.id) ? 1 : 0;
	const isLast = progress.crashes >= maxCrashes || dependencies.signal.aborted || progress.attempts >= maxAttempts;
	const mayResume = !isLast && failure.mayBeHeld && (yield * isResumable(failure, attempt, serving));
	if (isSilent && progress.open.findNews()) {
		return;
	}

	if (isSilent && !mayResume) {
		dependencies.router.onSilent(attempt.placement);
	} else if (attempt.isSent && failure.outcome !== placementOutcome.notRun && !mayResume && !progress.open.hasEngine(upstream.id)) {
		yield * cancelAtEngines([attempt]);
	}

	if (isLast) {
		checkOpen(error, serving);
	} else {
		checkDeadline(job, dependencies, {progress, cause: error});
		scheduleRetry(error, {failure, attempt, mayResume}, serving);
	}
}

/** Has the next attempt made, at the engine of the failed one if it may be resumed there; later when the retry budget is spent and an answer is open. */
function scheduleRetry(error: unknown, {failure, attempt, mayResume}: FailedAttempt & {readonly mayResume: boolean}, serving: Serving): void {
	const {dependencies, progress} = serving;
	const {upstream} = attempt.placement;
	progress.retryReason = failure.retryReason;
	if (mayResume) {
		progress.resumedIds.add(upstream.id);
		progress.resumePlacement = attempt.placement;
	} else {
		progress.excludedIds.add(upstream.id);
	}

	progress.attemptDueAt = dependencies.timers.getNow();
	progress.isRetryUnpaid = false;
	// An engine that is silent but answers a probe may have queued the request: it keeps the request, and the retry is not charged.
	const isFree = mayResume && failure.retryReason === retryReason.silentStream;
	if (!isFree && !tryRetry(failure.retryReason, serving)) {
		checkOpen(error, serving);
		progress.isRetryUnpaid = true;
		scheduleAttempt(serving);
	}
}

/** Throws `error` when no answer may come any more; otherwise it is waited for. */
function checkOpen(error: unknown, serving: Serving): void {
	const {progress} = serving;
	if (progress.open.size === 0) {
		throw error;
	}

	countWaits(serving);
}

function countWaits(serving: Serving): void {
	const [attempt] = serving.progress.open.list();
	if (attempt && serving.progress.rounds <= 1) {
		countSilence(serving, attempt, silenceOutcome.waits);
	}
}

/** Whether a request may be resumed at the engine that may hold it: once for each engine, and after silence only if the engine answers a probe. */
function * isResumable(failure: AttemptFailure, attempt: Attempt, {dependencies, progress}: Serving): Procedure<boolean> {
	const {upstream} = attempt.placement;
	if (progress.resumedIds.has(upstream.id) || !dependencies.router.isAvailable(upstream.id)) {
		return false;
	}

	return failure.retryReason !== retryReason.silentStream
		|| (yield * callStep('ask the engine whether it answers', async () => attempt.isAnswering(progress.open.createNewsSignal())));
}

/**
Charges a further attempt to the retry budget. An answer of which the caller has a part is resumed all the same: the caller would otherwise request
all of it again, which is more work than the rest. An attempt after an engine that closed before the send is not charged.
*/
function tryRetry(reason: RetryReason | undefined, {job, dependencies, progress}: Serving): boolean {
	const isAllowed = reason === retryReason.closedBeforeSend || dependencies.router.tryRetry(job.request.service);
	return isAllowed || progress.offset > 0;
}

/** Counts and records what became of a silent answer. */
function countSilence({job, dependencies, progress}: Serving, {placement}: Attempt, outcome: SilenceOutcome): void {
	dependencies.metrics.count('silences', outcome);
	dependencies.history?.record({
		subject: `request/${job.request.id}`, kind: 'silent answer', detail: `${placement.upstream.id} was silent at offset ${progress.offset}; ${silenceDetails[outcome]}`,
	});
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
