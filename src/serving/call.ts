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

/** How a call ended. */
export const callOutcome = {
	/** No service has started it or ever will. */
	notRun: 'not_run',
	done: 'done',
	/** Nobody can tell whether it ran. */
	unknown: 'unknown',
} as const;

/** The call was not run; only this outcome of a call that may not be repeated may be tried again. */
export type NotRunOutcome = {readonly kind: typeof callOutcome.notRun; readonly error: InstanceType<typeof NotRunError>};
/** The call ran and its whole answer is here. */
export type DoneOutcome = {readonly kind: typeof callOutcome.done; readonly answer: WholeAnswer};
/** Nobody can tell whether the call ran. */
export type UnknownOutcome = {readonly kind: typeof callOutcome.unknown; readonly error: Error};
/** How a call ended, each with what belongs to it. */
export type CallOutcome = NotRunOutcome | DoneOutcome | UnknownOutcome;

/** A call of an application service to be served. */
export type CallJob = {
	readonly service: string;
	readonly call: ServiceCall;
	/** On the monotonic clock, in milliseconds. */
	readonly deadlineAt: number;
};

/** What serving a call needs. */
export type CallDependencies = {
	readonly router: Router;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly getClient: (upstream: Upstream) => ServiceClient;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
};

/** Serves a call that may be repeated: tries again elsewhere within the retry budget. */
export function * serveRepeatable(job: CallJob, dependencies: CallDependencies): Procedure<CallOutcome> {
	const excluded = new Set<string>();
	for (let attempt = 1; ; attempt++) {
		let upstream: Upstream | undefined;
		try {
			upstream = yield * callStep('choose an instance', () => dependencies.router.chooseInstance(job.service, excluded));
			const chosen = upstream;
			const answer = yield * callStep('send the call', async () => sendRepeatable(job, chosen, dependencies));
			return {kind: callOutcome.done, answer};
		} catch (error) {
			const reason = decideRetryReason(error);
			const isLast = attempt >= maxAttempts || dependencies.signal.aborted || dependencies.timers.getNow() >= job.deadlineAt;
			if (isLast || reason === undefined || !upstream || !dependencies.router.tryRetry(job.service)) {
				return createFailedOutcome(error);
			}

			dependencies.metrics.countRetry(reason);
			excluded.add(upstream.id);
		}
	}
}

/**
Serves a call that may not be repeated: it goes out at most once, on a connection that has just answered. Only what
is known not to have run is tried at another instance. The caller's leaving does not end it.
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

			dependencies.metrics.countRetry(retryReason.refusedNotRun);
			excluded.add(upstream.id);
		}
	}
}

type SendOnceContext = {readonly dependencies: CallDependencies; readonly onSend: () => void};

/** Sends a call that may not be repeated to one instance, once. */
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

/** Decides the outcome of a call by its error; only what is known not to have run is called so. */
export function createFailedOutcome(error: unknown): NotRunOutcome | UnknownOutcome {
	if (error instanceof NotRunError) {
		return {kind: callOutcome.notRun, error};
	}

	return {kind: callOutcome.unknown, error: error instanceof Error ? error : new UnknownOutcomeError(String(error))};
}

/** Sends a call that may be repeated to one instance and reads its whole answer. */
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

/** The answer is awaited in the step after the send; its failure is met there. */
async function waitIgnoringErrors(pending: Promise<unknown>): Promise<void> {
	try {
		await pending;
	} catch {}
}

/** Asked in the same turn as the send. */
function checkSend(job: CallJob, upstream: Upstream, {router, timers}: CallDependencies): void {
	if (!router.isOpen(upstream.id)) {
		throw new NotRunError(`${upstream.id} closed before the send`);
	}

	if (timers.getNow() >= job.deadlineAt) {
		throw new NotRunError('the deadline has passed', {props: {reason: refusalReason.deadline}});
	}
}

/** Makes a signal that is aborted at the deadline, and with `other`. */
function createDeadlineSignal(job: CallJob, {timers}: CallDependencies, callerSignal?: AbortSignal) {
	const controller = new AbortController();
	const onAbort = () => {
		controller.abort();
	};

	const timer = timers.startTimer(Math.max(0, job.deadlineAt - timers.getNow()), onAbort);
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
		return error.cause === undefined ? retryReason.refusedNotRun : retryReason.connectFailed;
	}

	if (error instanceof ForeignAnswerError) {
		return retryReason.foreignAnswer;
	}

	const isAnswerLost = error instanceof UnknownOutcomeError || error instanceof BrokenAnswerError;
	return isAnswerLost ? retryReason.repeatable : undefined;
}
