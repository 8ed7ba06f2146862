import {choosePlainPlace} from '../dispatch/index.js';
import type {EngineView, WaitingLine} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {endUnanswered, refuseNotRun, waitForPlace} from './ending.js';
import {requestKind} from './types.js';
import type {GatewayParts, ServedRequest} from './served.js';

/** Part of the target after which a silent engine loses a request that may be sent again: another can still be on time. */
const silentShare = 0.6;
/** Engines that one request may fail to reach; none of them was sent it. */
const mostUnreached = 4;
/** Time that the shortest request needs at an engine, in milliseconds: less left is not worth a send. */
const leastServiceMs = 5;

/** Answers a request of an application service: sent again only where it may run again or has not run. */
export function * servePlain(parts: GatewayParts, served: ServedRequest, line: WaitingLine<EngineView>): Procedure<void> {
	const tried = new Set<EngineView>();
	const isRepeatable = served.route.kind === requestKind.idempotent;
	let runs = 0;
	for (let unreached = 0; ;) {
		const view = yield * callStep('wait for a place', async () => waitForPlace(parts, served, line, leastServiceMs, runs > 0, now =>
			choosePlainPlace(served.fleet.listServing(served.service), tried, now)
				?? choosePlainPlace(served.fleet.listServing(served.service), new Set(), now)));
		if (!view) {
			return;
		}

		const mayRepeat = isRepeatable && runs + 1 < served.route.attempts;
		const attempt = yield * callStep('send to an engine', async () => callEngine(parts, served, view, {
			purpose: 'run',
			silenceMs: mayRepeat ? (served.route.targetMs * silentShare) : undefined,
			mayReuseIdle: isRepeatable,
		}));
		const body = attempt.isNotRun ? undefined : yield * callStep('read the answer', async () => attempt.readBody());
		line.serve();
		if (body && (attempt.isSuccess || !mayRepeat)) {
			attempt.finish();
			sendWhole(served, attempt, body);
			return;
		}

		if (body) {
			attempt.finish();
		}

		tried.add(view);
		runs += attempt.isNotRun ? 0 : 1;
		unreached += attempt.isNotSent ? 1 : 0;
		if (served.signal.aborted) {
			endUnanswered(served, attempt);
			return;
		}

		const isFree = attempt.isNotSent && unreached < mostUnreached;
		const mayTryAgain = attempt.isNotRun || mayRepeat;
		if (mayTryAgain && (isFree || (!attempt.isNotSent && parts.budget.tryTake(served.service)))) {
			parts.report.onRetry(selectReason(attempt, body));
		} else if (body) {
			sendWhole(served, attempt, body);
			return;
		} else if (attempt.isNotRun && runs === 0) {
			refuseNotRun(parts, served, refusalReason.retryBudget);
			return;
		} else {
			endUnanswered(served, attempt);
			return;
		}
	}
}

function sendWhole(served: ServedRequest, attempt: Attempt, body: Uint8Array): void {
	const {reply} = attempt;
	if (!reply || (attempt.isSuccess && !reply.hasReceipt)) {
		endUnanswered(served, attempt);
		return;
	}

	served.answer.start(reply.status, reply.headers, body.length);
	served.trace.onFirstByte();
	void served.answer.write(body);
	served.answer.finish();
	served.trace.end('answered', undefined, reply.status);
}

function selectReason(attempt: Attempt, body: Uint8Array | undefined): string {
	if (attempt.isNotSent) {
		return retryReason.connectFailed;
	}

	if (attempt.isNotRun) {
		return retryReason.refusedNotRun;
	}

	return body ? retryReason.upstreamFailed : retryReason.repeatable;
}
