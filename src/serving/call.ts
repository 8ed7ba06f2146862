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
import {readAnswer} from './wholeanswer.js';
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
	readonly due: number;
};

/** What serving a call needs. */
export type CallParts = {
	readonly router: Router;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly getService: (upstream: Upstream) => ServiceClient;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
};

/** Serves a call that may be repeated: tries again elsewhere within the retry budget. */
export function * serveRepeatable(job: CallJob, parts: CallParts): Procedure<CallOutcome> {
	const excluded = new Set<string>();
	for (let attempt = 1; ; attempt++) {
		let upstream: Upstream | undefined;
		try {
			upstream = yield * callStep('choose an instance', () => parts.router.chooseInstance(job.service, excluded));
			const chosen = upstream;
			const answer = yield * callStep('send the call', async () => sendRepeatable(job, chosen, parts));
			return {kind: callOutcome.done, answer};
		} catch (error) {
			const reason = decideRetry(error);
			const isLast = attempt >= maxAttempts || parts.signal.aborted || parts.timers.getNow() >= job.due;
			if (isLast || reason === undefined || !upstream || !parts.router.tryRetry(job.service)) {
				return createOutcome(error);
			}

			parts.metrics.countRetry(reason);
			excluded.add(upstream.id);
		}
	}
}

/**
Serves a call that may not be repeated: it goes out at most once, on a connection that has just answered. Only what
is known not to have run is tried at another instance. The caller's leaving does not end it.
*/
export function * serveOnce(job: CallJob, parts: CallParts, onSend: () => void = () => undefined): Procedure<CallOutcome> {
	const excluded = new Set<string>();
	for (let attempt = 1; ; attempt++) {
		let upstream: Upstream | undefined;
		try {
			upstream = yield * callStep('choose an instance', () => parts.router.chooseInstance(job.service, excluded));
			return yield * sendOnce(job, upstream, {parts, onSend});
		} catch (error) {
			const outcome = createOutcome(error);
			const isLast = outcome.kind !== callOutcome.notRun || attempt >= maxAttempts || parts.timers.getNow() >= job.due;
			if (isLast || !upstream || !parts.router.tryRetry(job.service)) {
				return outcome;
			}

			parts.metrics.countRetry(retryReason.refusedNotRun);
			excluded.add(upstream.id);
		}
	}
}

type OnceContext = {readonly parts: CallParts; readonly onSend: () => void};

/** Sends a call that may not be repeated to one instance, once. */
export function * sendOnce(job: CallJob, upstream: Upstream, {parts, onSend}: OnceContext): Procedure<DoneOutcome> {
	const limit = createLimit(job, parts);
	let connection: ServiceConnection | undefined;
	let sent: Promise<WholeAnswer> | undefined;
	let outcome: PlacementOutcome = placementOutcome.failed;
	try {
		const live = yield * callStep('open a live connection', async () => parts.getService(upstream).open(limit.signal));
		connection = live;
		yield * callStep('send the call', () => {
			checkSend(job, upstream, parts);
			onSend();
			parts.router.onCallSent(upstream.id);
			sent = readAnswer(live.call(job.call, limit.signal));
			void waitQuietly(sent);
		});
		const answer = yield * callStep('wait for the answer', async () => sent);
		outcome = placementOutcome.done;
		return {kind: callOutcome.done, answer: answer!};
	} catch (error) {
		outcome = error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.failed;
		throw error;
	} finally {
		limit.cancel();
		connection?.close();
		if (sent) {
			parts.router.onCallEnd(upstream.id, outcome);
		}
	}
}

/** Decides the outcome of a call by its error; only what is known not to have run is called so. */
export function createOutcome(error: unknown): NotRunOutcome | UnknownOutcome {
	if (error instanceof NotRunError) {
		return {kind: callOutcome.notRun, error};
	}

	return {kind: callOutcome.unknown, error: error instanceof Error ? error : new UnknownOutcomeError(String(error))};
}

/** Sends a call that may be repeated to one instance and reads its whole answer. */
export async function sendRepeatable(job: CallJob, upstream: Upstream, parts: CallParts): Promise<WholeAnswer> {
	const limit = createLimit(job, parts, parts.signal);
	checkSend(job, upstream, parts);
	parts.router.onCallSent(upstream.id);
	let outcome: PlacementOutcome = placementOutcome.failed;
	try {
		const answer = await readAnswer(parts.getService(upstream).call(job.call, limit.signal));
		outcome = placementOutcome.done;
		return answer;
	} catch (error) {
		outcome = error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.failed;
		throw limit.signal.aborted && !parts.signal.aborted ? new DeadlineError('the deadline has passed', {cause: error}) : error;
	} finally {
		limit.cancel();
		parts.router.onCallEnd(upstream.id, outcome);
	}
}

/** The answer is awaited in the step after the send; its failure is met there. */
async function waitQuietly(sent: Promise<unknown>): Promise<void> {
	try {
		await sent;
	} catch {}
}

/** Asked in the same turn as the send. */
function checkSend(job: CallJob, upstream: Upstream, {router, timers}: CallParts): void {
	if (!router.isAvailable(upstream.id)) {
		throw new NotRunError(`${upstream.id} closed before the send`);
	}

	if (timers.getNow() >= job.due) {
		throw new NotRunError('the deadline has passed', {props: {reason: refusalReason.deadline}});
	}
}

/** Makes a signal that is aborted at the deadline, and with `other`. */
function createLimit(job: CallJob, {timers}: CallParts, other?: AbortSignal) {
	const abort = new AbortController();
	const onAbort = () => {
		abort.abort();
	};

	const timer = timers.startTimer(Math.max(0, job.due - timers.getNow()), onAbort);
	other?.addEventListener('abort', onAbort, {once: true});
	return {
		signal: abort.signal,
		cancel() {
			timer.cancel();
			other?.removeEventListener('abort', onAbort);
		},
	};
}

function decideRetry(error: unknown): RetryReason | undefined {
	if (error instanceof NotRunError) {
		return error.cause === undefined ? retryReason.refusedNotRun : retryReason.connectFailed;
	}

	if (error instanceof ForeignAnswerError) {
		return retryReason.foreignAnswer;
	}

	const isRepeatable = error instanceof UnknownOutcomeError || error instanceof BrokenAnswerError;
	return isRepeatable ? retryReason.repeatable : undefined;
}
