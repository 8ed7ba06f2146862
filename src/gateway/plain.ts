import {
	choosePlainEngine, isPausedUntil, maxReturnShare, QueueRefusal,
} from '../dispatch/index.js';
import type {EngineView, AdmissionQueue} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {
	finishUnanswered, refuseNotRun, refusePaused, waitForEngine,
} from './ending.js';
import {checkEvents} from './events.js';
import {selectRetryReason, RequestProgress} from './progress.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {requestKind} from './types.js';

/** Share of the route's target after which a silent send is aborted if the request may be repeated: another engine can still answer on time. */
const silenceTimeoutShare = 0.6;
/** Time that the shortest request takes at an engine, in milliseconds; with less time left, a send is of no use. */
const minServiceMs = 5;

/** Progress of one request of an application service. */
class PlainProgress extends RequestProgress {
	readonly triedEngines = new Set<EngineView>();
	/** Engines whose limits allowed no request when this one asked for a permit. */
	readonly limitedEngines = new Set<EngineView>();

	/** Whether the request may run on a further engine after the next one. */
	isRepeatable({route}: ServedRequest): boolean {
		return route.kind === requestKind.idempotent && this.runs + 1 < route.maxRuns;
	}

	/**
	Chooses an engine that was not tried yet, or any one if none of those can take the request. Refuses the request when all engines that are
	available have got as many requests as their limits allow.
	*/
	chooseEngine({permits}: GatewayDependencies, {fleet, service, deadlineAt}: ServedRequest, now: number): EngineView | QueueRefusal | undefined {
		const available = fleet.listServing(service).filter(view => view.isAvailable(now));
		const open = available.filter(view => !this.limitedEngines.has(view) && permits.computeWaitMs(view.record) === 0);
		if (open.length === 0 && available.length > 0) {
			return new QueueRefusal(refusalReason.limited, permits.scheduleReturnMs(available.map(({record}) => record), (deadlineAt - now) * maxReturnShare));
		}

		return choosePlainEngine(open, this.triedEngines, now) ?? choosePlainEngine(open, new Set(), now);
	}
}

/** Serves a request of an application service. It is sent again only if it is idempotent or the engine did not run it. */
export function * servePlain(dependencies: GatewayDependencies, served: ServedRequest, queue: AdmissionQueue<EngineView>): Procedure<void> {
	const progress = new PlainProgress();
	for (;;) {
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
		const mayRepeat = progress.isRepeatable(served);
		const attempt = yield * callStep('send to an engine', async () => callEngine(dependencies, served, view, {
			purpose: 'run',
			silenceTimeoutMs: mayRepeat ? served.route.targetMs * silenceTimeoutShare : undefined,
			tryTakeRetry: () => dependencies.retryBudget.tryTake(served.service),
			mayReuseIdle: served.route.kind === requestKind.idempotent,
		}));
		const body = attempt.isNotRun ? undefined : yield * callStep('read the answer', async () => readAnswer(served, attempt));
		if (body) {
			attempt.finish();
		}

		queue.dispatch();
		if (body && (attempt.isSuccess || !mayRepeat)) {
			relayBody(served, attempt, body);
			return;
		}

		if (!decideNext(dependencies, served, progress, attempt)) {
			finishAfterLastAttempt(dependencies, served, progress, {attempt, body});
			return;
		}

		dependencies.reporter.onRetry(selectRetryReason(attempt, body ? retryReason.upstreamFailed : retryReason.repeatable));
	}
}

/** Reads the whole answer; returns `undefined` when it broke off. */
async function readAnswer(served: ServedRequest, attempt: Attempt): Promise<Uint8Array | undefined> {
	const body = await attempt.readBody();
	if (body && attempt.isSuccess && served.route.kind === requestKind.stream) {
		try {
			checkEvents(body);
		} catch (error) {
			attempt.abort(error);
			return undefined;
		}
	}

	return body;
}

/** Returns whether to try another engine after an attempt that did not succeed. */
function decideNext(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, attempt: Attempt): boolean {
	const mayRepeat = progress.isRepeatable(served);
	progress.triedEngines.add(attempt.view);
	progress.countAttempt(attempt);
	if (served.signal.aborted || !(attempt.isNotRun || mayRepeat)) {
		return false;
	}

	return attempt.isNotSent ? progress.hasConnectTriesLeft : attempt.hasRetryPermit || dependencies.retryBudget.tryTake(served.service);
}

type LastAttempt = {readonly attempt: Attempt; readonly body: Uint8Array | undefined};

/** Ends a request after its last attempt. */
function finishAfterLastAttempt(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, {attempt, body}: LastAttempt): void {
	if (body && !served.signal.aborted) {
		relayBody(served, attempt, body);
	} else if (progress.runs === 0 && !served.signal.aborted) {
		refuseNotRun(dependencies, served, refusalReason.retryBudget);
	} else {
		finishUnanswered(served, attempt);
	}
}

function relayBody(served: ServedRequest, attempt: Attempt, body: Uint8Array): void {
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
