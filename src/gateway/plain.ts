import {isPausedUntil} from '../dispatch/index.js';
import type {AdmissionQueue, EngineView} from '../dispatch/index.js';
import {retryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import type {Attempt} from './attempt.js';
import {
	finishUnanswered, refuseAccess, refusePaused, refuseRetry, waitForEngine,
} from './ending.js';
import {PlainProgress} from './plainprogress.js';
import {PlainRace} from './plainrace.js';
import type {EndedSend} from './plainrace.js';
import {selectRetryReason} from './progress.js';
import type {GatewayDependencies, ServedRequest} from './served.js';

/** Time that the shortest request takes at an engine, in milliseconds; with less time left, a send is of no use. */
const minServiceMs = 5;

/** Serves a request of an application service. It is sent again only if it is idempotent or the engine did not run it. */
export function * servePlain(dependencies: GatewayDependencies, served: ServedRequest, queue: AdmissionQueue<EngineView>): Procedure<void> {
	const progress = new PlainProgress();
	for (;;) {
		if (refuseAccess(dependencies, served, progress.runs > 0)) {
			return;
		}

		if (isPausedUntil(served.deadlineAt, served.fleet.listServing(served.service), dependencies.timers.getNow())) {
			refusePaused(dependencies, served, progress.runs > 0);
			return;
		}

		const view = yield * callStep('wait for a place', async () => waitForEngine(dependencies, served, queue, {
			serviceMs: minServiceMs, mayHaveRun: progress.runs > 0, tryChoose: now => progress.chooseEngine(dependencies, served, now),
		}));
		if (!view) {
			return;
		}

		if (dependencies.permits.isLimited(view.record)) {
			const isPermitted = yield * callStep('ask for a permit', async () => dependencies.permits.takePermit(view.record));
			if (!isPermitted) {
				progress.limitedEngines.add(view);
				served.trace.refusedPermits++;
				continue;
			}
		}

		dependencies.permits.onSend(view.record);
		const race = new PlainRace(dependencies, served, progress, queue);
		const ended = yield * callStep('send to an engine', async () => race.run(view));
		const {attempt, body} = ended;
		if (body && (attempt.isSuccess || !progress.hasRunsLeft(served))) {
			relayBody(served, attempt, body);
			return;
		}

		if (!decideNext(dependencies, served, progress, attempt)) {
			finishAfterLastAttempt(dependencies, served, progress, ended);
			return;
		}

		dependencies.reporter.onRetry(selectRetryReason(attempt, body ? retryReason.upstreamFailed : retryReason.repeatable));
	}
}

/** Returns whether to try another engine after an attempt that did not succeed. */
function decideNext(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, attempt: Attempt): boolean {
	if (served.signal.aborted || !(attempt.isNotRun || progress.hasRunsLeft(served))) {
		return false;
	}

	return attempt.isNotSent ? progress.hasConnectTriesLeft : dependencies.retryBudget.tryTake(served.service);
}

/** Ends a request after its last attempt. */
function finishAfterLastAttempt(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, {attempt, body}: EndedSend): void {
	if (body && !served.signal.aborted) {
		relayBody(served, attempt, body);
	} else if (progress.runs === 0 && !served.signal.aborted) {
		refuseRetry(dependencies, served, false);
	} else {
		finishUnanswered(served, attempt);
	}
}

function relayBody(served: ServedRequest, attempt: Attempt, body: Uint8Array): void {
	const {reply} = attempt;
	if (!reply) {
		finishUnanswered(served, attempt);
		return;
	}

	served.answer.start(reply.status, reply.headers, body.length);
	served.trace.onFirstByte();
	void served.answer.write(body);
	served.answer.finish();
	served.trace.finish('answered', undefined, reply.status);
}
