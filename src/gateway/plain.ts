import {choosePlainEngine} from '../dispatch/index.js';
import type {EngineView, AdmissionQueue} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {finishUnanswered, refuseNotRun, waitForPlace} from './ending.js';
import {selectRetryReason, SendCount} from './run.js';
import type {GatewayParts, ServedRequest} from './served.js';
import {requestKind} from './types.js';

/** Part of the target after which a silent engine loses a request that may be sent again: another can still be on time. */
const silentShare = 0.6;
/** Time that the shortest request needs at an engine, in milliseconds: less left is not worth a send. */
const leastServiceMs = 5;

/** How far one request of an application service has come. */
class PlainRun extends SendCount {
	readonly tried = new Set<EngineView>();

	/** Whether it may run at one more engine after the next. */
	isRepeatable({route}: ServedRequest): boolean {
		return route.kind === requestKind.idempotent && this.runs + 1 < route.attempts;
	}

	/** Chooses an engine that was not tried, or any if all were. */
	chooseEngine({fleet, service}: ServedRequest, now: number): EngineView | undefined {
		const views = fleet.listServing(service);
		return choosePlainEngine(views, this.tried, now) ?? choosePlainEngine(views, new Set(), now);
	}
}

/** Answers a request of an application service: sent again only where it may run again or has not run. */
export function * servePlain(parts: GatewayParts, served: ServedRequest, line: AdmissionQueue<EngineView>): Procedure<void> {
	const run = new PlainRun();
	for (;;) {
		const view = yield * callStep('wait for a place', async () => waitForPlace(parts, served, line, {
			serviceMs: leastServiceMs, mayHaveRun: run.runs > 0, tryPlace: now => run.chooseEngine(served, now),
		}));
		if (!view) {
			return;
		}

		const mayRepeat = run.isRepeatable(served);
		const attempt = yield * callStep('send to an engine', async () => callEngine(parts, served, view, {
			purpose: 'run',
			silenceMs: mayRepeat ? served.route.targetMs * silentShare : undefined,
			mayReuseIdle: served.route.kind === requestKind.idempotent,
		}));
		const body = attempt.isNotRun ? undefined : yield * callStep('read the answer', async () => attempt.readBody());
		if (body) {
			attempt.finish();
		}

		line.dispatch();
		if (body && (attempt.isSuccess || !mayRepeat)) {
			sendWhole(served, attempt, body);
			return;
		}

		if (!decideNext(parts, served, run, attempt)) {
			finishAfter(parts, served, run, {attempt, body});
			return;
		}

		parts.report.onRetry(selectRetryReason(attempt, body ? retryReason.upstreamFailed : retryReason.repeatable));
	}
}

/** Decides whether a request without a success goes on at another engine. */
function decideNext(parts: GatewayParts, served: ServedRequest, run: PlainRun, attempt: Attempt): boolean {
	const mayRepeat = run.isRepeatable(served);
	run.tried.add(attempt.view);
	run.add(attempt);
	if (served.signal.aborted || !(attempt.isNotRun || mayRepeat)) {
		return false;
	}

	return attempt.isNotSent ? run.hasTriesLeft : parts.budget.tryTake(served.service);
}

type LastAttempt = {readonly attempt: Attempt; readonly body: Uint8Array | undefined};

/** Ends a request after its last attempt. */
function finishAfter(parts: GatewayParts, served: ServedRequest, run: PlainRun, {attempt, body}: LastAttempt): void {
	if (body && !served.signal.aborted) {
		sendWhole(served, attempt, body);
	} else if (run.runs === 0 && !served.signal.aborted) {
		refuseNotRun(parts, served, refusalReason.retryBudget);
	} else {
		finishUnanswered(served, attempt);
	}
}

function sendWhole(served: ServedRequest, attempt: Attempt, body: Uint8Array): void {
	const {reply} = attempt;
	if (!reply || (attempt.isSuccess && !reply.hasReceipt)) {
		finishUnanswered(served, attempt);
		return;
	}

	served.answer.start(reply.status, reply.headers, body.length);
	served.trace.onFirstByte();
	void served.answer.write(body);
	served.answer.finish();
	served.trace.finish('answered', undefined, reply.status);
}
