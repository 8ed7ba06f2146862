import {
	BrokenAnswerError, DeadlineError, ForeignAnswerError, NotRunError, refusalReason, retryReason, UnknownOutcomeError,
} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {PlacementOutcome, Router} from '../routing/index.js';
import type {Upstream} from '../deployment/index.js';
import type {TimerService} from '../timers/index.js';
import type {ServiceCall, ServiceClient, ServiceConnection} from '../upstreams/index.js';
import {readWholeAnswer} from './wholeanswer.js';
import type {WholeAnswer} from './wholeanswer.js';

const maxAttempts = 4;
/** Delay before instances are looked for again, in milliseconds; it doubles with each time. */
const minRoundDelayMs = 200;
const maxRoundDelayMs = 2000;

/** How a call ended. */
export const callOutcome = {
	/** No instance has started the call, and none will. */
	notRun: 'not_run',
	done: 'done',
	/** It is not known whether the call ran. */
	unknown: 'unknown',
} as const;

/** The call was not run. A call that may not be repeated is tried again only after this outcome. */
export type NotRunOutcome = {readonly kind: typeof callOutcome.notRun; readonly error: InstanceType<typeof NotRunError>};
/** The call ran, and its answer was received completely. */
export type DoneOutcome = {readonly kind: typeof callOutcome.done; readonly answer: WholeAnswer};
/** It is not known whether the call ran; `error` is the reason. */
export type UnknownOutcome = {readonly kind: typeof callOutcome.unknown; readonly error: Error};
/** How a call ended, with its answer or error. */
export type CallOutcome = NotRunOutcome | DoneOutcome | UnknownOutcome;

/** A call to an application service. */
export type CallJob = {
	readonly service: string;
	readonly call: ServiceCall;
	/** Monotonic, in milliseconds. */
	readonly deadlineAt: number;
};

/** Dependencies for serving a call. */
export type CallDependencies = {
	readonly router: Router;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly getClient: (upstream: Upstream) => ServiceClient;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** How far a call that may be repeated has come. */
type RepeatableProgress = {
	readonly excludedIds: Set<string>;
	/** Attempts; refusals of a call that may have run don't count. */
	attempts: number;
	/** Times that no instance was found. */
	rounds: number;
	/** Error of the last attempt that may have run the call. */
	lostError: unknown;
};

/**
Serves a call that may be repeated. After a failed attempt it tries another instance, within the retry budget and until
the deadline; a call that may have run waits for an instance that takes it. A failure is returned as an outcome.
*/
export function * serveRepeatable(job: CallJob, dependencies: CallDependencies): Procedure<CallOutcome> {
	const progress: RepeatableProgress = {
		excludedIds: new Set(), attempts: 0, rounds: 0, lostError: undefined,
	};
	for (;;) {
		let upstream: Upstream | undefined;
		try {
			upstream = yield * callStep('choose an instance', () => dependencies.router.chooseInstance(job.service, progress.excludedIds));
			const chosen = upstream;
			const answer = yield * callStep('send the call', async () => sendRepeatable(job, chosen, dependencies));
			return {kind: callOutcome.done, answer};
		} catch (error) {
			const reason = decideRetryReason(error);
			progress.lostError = error instanceof NotRunError ? progress.lostError : error;
			progress.attempts += error instanceof NotRunError && progress.lostError !== undefined ? 0 : 1;
			const isLast = progress.attempts >= maxAttempts || dependencies.signal.aborted || dependencies.timers.getNow() >= job.deadlineAt;
			if (isLast || reason === undefined || !isRetryAllowed(upstream, job, {dependencies, progress})) {
				return createRepeatableOutcome(error, progress);
			}

			if (upstream) {
				dependencies.metrics.countRetry(reason);
				progress.excludedIds.add(upstream.id);
			} else {
				yield * waitForInstance(job, dependencies, progress);
			}
		}
	}
}

type RepeatableContext = {readonly dependencies: CallDependencies; readonly progress: RepeatableProgress};

/** Whether a call is tried further: within the retry budget after an attempt, and only if it may have run when no instance was found. */
function isRetryAllowed(upstream: Upstream | undefined, job: CallJob, {dependencies, progress}: RepeatableContext): boolean {
	return upstream ? dependencies.router.tryRetry(job.service) : progress.lostError !== undefined;
}

/** Waits until instances are looked for again, at most until the deadline. All of them are allowed then. */
function * waitForInstance(job: CallJob, {timers, signal}: CallDependencies, progress: RepeatableProgress): Procedure<void> {
	const delayMs = Math.min(maxRoundDelayMs, minRoundDelayMs * (2 ** progress.rounds), Math.max(0, job.deadlineAt - timers.getNow()));
	progress.rounds++;
	progress.excludedIds.clear();
	yield * callStep('wait for an instance', async () => timers.sleep(delayMs, signal));
}

/** Returns the outcome of a call that is not tried further. It is unknown if an earlier attempt may have run the call. */
function createRepeatableOutcome(error: unknown, {lostError}: RepeatableProgress): CallOutcome {
	return error instanceof NotRunError && lostError !== undefined
		? {kind: callOutcome.unknown, error: new UnknownOutcomeError('the answer was lost and no instance took the call again', {cause: lostError})}
		: createFailedOutcome(error);
}

/**
Serves a call that may not be repeated, so that it runs at most once: it is sent on a connection that has just answered
a probe, and tried at another instance only if it is known not to have run. It continues when the caller disconnects.
`onSend` is called immediately before each send; if it throws, the call is not sent.
*/
export function * serveOnce(job: CallJob, dependencies: CallDependencies, onSend: () => void = () => undefined): Procedure<CallOutcome> {
	const excluded = new Set<string>();
	for (let attempt = 1; ; attempt++) {
		let upstream: Upstream | undefined;
		try {
			upstream = yield * callStep('choose an instance', () => dependencies.router.chooseInstance(job.service, excluded));
			return yield * sendOnce(job, upstream, {dependencies, onSend});
		} catch (error) {
			const outcome = createFailedOutcome(error);
			const isLast = outcome.kind !== callOutcome.notRun || attempt >= maxAttempts || dependencies.timers.getNow() >= job.deadlineAt;
			if (isLast || !upstream || !dependencies.router.tryRetry(job.service)) {
				return outcome;
			}

			dependencies.metrics.countRetry(outcome.error.isUnreached ? retryReason.connectFailed : retryReason.refusedNotRun);
			excluded.add(upstream.id);
		}
	}
}

type SendOnceContext = {readonly dependencies: CallDependencies; readonly onSend: () => void};

/** Sends a call that may not be repeated to one instance, once. Throws `NotRunError` when it is known not to have run. */
export function * sendOnce(job: CallJob, upstream: Upstream, {dependencies, onSend}: SendOnceContext): Procedure<DoneOutcome> {
	const deadline = createDeadlineSignal(job, dependencies);
	let connection: ServiceConnection | undefined;
	let pendingAnswer: Promise<WholeAnswer> | undefined;
	let outcome: PlacementOutcome = placementOutcome.failed;
	try {
		const opened = yield * callStep('open a live connection', async () => dependencies.getClient(upstream).open(deadline.signal));
		connection = opened;
		yield * callStep('send the call', () => {
			checkSend(job, upstream, dependencies);
			onSend();
			dependencies.router.onCallSent(upstream.id);
			pendingAnswer = readWholeAnswer(opened.call(job.call, deadline.signal));
			void waitIgnoringErrors(pendingAnswer);
		});
		const answer = yield * callStep('wait for the answer', async () => pendingAnswer);
		outcome = placementOutcome.done;
		return {kind: callOutcome.done, answer: answer!};
	} catch (error) {
		outcome = error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.failed;
		throw error;
	} finally {
		deadline.cancel();
		connection?.close();
		if (pendingAnswer) {
			dependencies.router.onCallEnd(upstream.id, outcome);
		}
	}
}

/** Returns the outcome of a call that ended with an error: not run for `NotRunError`, unknown for any other. */
export function createFailedOutcome(error: unknown): NotRunOutcome | UnknownOutcome {
	if (error instanceof NotRunError) {
		return {kind: callOutcome.notRun, error};
	}

	return {kind: callOutcome.unknown, error: error instanceof Error ? error : new UnknownOutcomeError(String(error))};
}

/**
Sends a call that may be repeated to one instance and reads its whole answer. Throws `DeadlineError` when the deadline
passes before the answer is complete.
*/
export async function sendRepeatable(job: CallJob, upstream: Upstream, dependencies: CallDependencies): Promise<WholeAnswer> {
	const deadline = createDeadlineSignal(job, dependencies, dependencies.signal);
	checkSend(job, upstream, dependencies);
	dependencies.router.onCallSent(upstream.id);
	let outcome: PlacementOutcome = placementOutcome.failed;
	try {
		const answer = await readWholeAnswer(dependencies.getClient(upstream).call(job.call, deadline.signal));
		outcome = placementOutcome.done;
		return answer;
	} catch (error) {
		outcome = error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.failed;
		throw deadline.signal.aborted && !dependencies.signal.aborted ? new DeadlineError('the deadline has passed', {cause: error}) : error;
	} finally {
		deadline.cancel();
		dependencies.router.onCallEnd(upstream.id, outcome);
	}
}

/** Prevents an unhandled rejection: the answer is awaited only in the step after the send, which handles its error. */
async function waitIgnoringErrors(pending: Promise<unknown>): Promise<void> {
	try {
		await pending;
	} catch {}
}

/**
Throws `NotRunError` if the instance takes no new calls or the deadline has passed. Has to run in the same turn of the
event loop as the send, so that nothing changes in between.
*/
function checkSend(job: CallJob, upstream: Upstream, {router, timers}: CallDependencies): void {
	if (!router.isAvailable(upstream.id)) {
		throw new NotRunError(`${upstream.id} closed before the send`);
	}

	if (timers.getNow() >= job.deadlineAt) {
		throw new NotRunError('the deadline has passed', {props: {reason: refusalReason.deadline}});
	}
}

/** Creates a signal that is aborted at the deadline, or earlier together with `callerSignal`. */
function createDeadlineSignal(job: CallJob, {timers}: CallDependencies, callerSignal?: AbortSignal) {
	const controller = new AbortController();
	const onAbort = () => {
		controller.abort();
	};

	const timer = timers.startTimeout(Math.max(0, job.deadlineAt - timers.getNow()), onAbort);
	callerSignal?.addEventListener('abort', onAbort, {once: true});
	return {
		signal: controller.signal,
		cancel() {
			timer.cancel();
			callerSignal?.removeEventListener('abort', onAbort);
		},
	};
}

function decideRetryReason(error: unknown): RetryReason | undefined {
	if (error instanceof NotRunError) {
		return error.isUnreached ? retryReason.connectFailed : retryReason.refusedNotRun;
	}

	if (error instanceof ForeignAnswerError) {
		return retryReason.foreignAnswer;
	}

	const isAnswerLost = error instanceof UnknownOutcomeError || error instanceof BrokenAnswerError;
	return isAnswerLost ? retryReason.repeatable : undefined;
}
