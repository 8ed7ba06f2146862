import {normalizeCustomerName} from '../customers/index.js';
import {engineOutcome, engineStage, isPausedUntil} from '../dispatch/index.js';
import type {EngineView, GenerationNeeds} from '../dispatch/index.js';
import {
	BrokenAnswerError, NotRunError, refusalReason, retryReason,
} from '../errors/index.js';
import type {Reservation, ReservationRequest} from '../places/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {Attempt} from './attempt.js';
import type {AttemptOptions} from './attempt.js';
import {
	finishUnanswered, refuseAccess, refusePaused, refuseQuarantined, refuseRetry, refuseUnadmitted,
} from './ending.js';
import {emptyStreamMessage} from './events.js';
import type {KvCacheHandle} from './ports.js';
import {selectRetryReason, RequestProgress} from './progress.js';
import {findAccessRefusal, reportBegun} from './served.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {StreamSend} from './streamsend.js';
import type {StreamSendOptions} from './streamsend.js';
import {StreamTakeover} from './streamtakeover.js';
import type {ModelEngineSpec, Prompt} from './types.js';

/** Multiple of the route's target after which a silent prefill is given up: the decode engine can run the prefill too. */
const prefillSilenceTargets = 2.5;
/** Multiple of the route's target after which a further engine is sought for a silent stream that can be resumed. */
const decodeSilenceTargets = 3.3;
/** Multiple of the expected time to the first token up to which a silent engine may still be at work. */
const maxExpectedMultiple = 2.5;
/** Shortest silence that counts, in milliseconds: longer than the pauses between events that callers accept. */
const minSilenceTimeoutMs = 400;

/** Interval at which a place or a permit is sought again for an answer that may still come, in milliseconds. */
const retryIntervalMs = 50;

/** KV cache of a prompt, and the id of the engine that prefilled it. */
type PrefilledKvCache = KvCacheHandle & {readonly engineId: string};

/** Progress of one generation. */
class GenerationProgress extends RequestProgress {
	readonly needs: GenerationNeeds;
	/** Ids of engines that failed this generation. */
	readonly triedIds = new Set<string>();
	/** Number of sends to prefill engines. */
	prefillAttempts = 0;
	/** Id of the last event that was sent to the caller. */
	lastEventId: string | undefined;
	/** Monotonic time from which the caller waits for the next event, in milliseconds. */
	waitsSince: number;
	/** KV cache of the prompt that no decode engine was told of yet. */
	heldKvCache: PrefilledKvCache | undefined;

	constructor({request, model}: ServedRequest) {
		super();
		this.needs = createNeeds(request.prompt, model);
		this.waitsSince = request.arrivedAt;
	}
}

/**
Serves one generation: acquires a reservation, prefills the prompt and relays the stream. A stream that breaks is resumed
at another engine where the route allows it.
*/
export function * serveGeneration(dependencies: GatewayDependencies, served: ServedRequest): Procedure<void> {
	const progress = new GenerationProgress(served);
	for (;;) {
		if (refuseAccess(dependencies, served, progress.runs > 0)) {
			releaseHeldKvCache(dependencies, served, progress);
			return;
		}

		const reservation = yield * callStep('wait for a place', async () => acquireReservation(dependencies, served, progress));
		const decodeEngine = reservation && served.fleet.findAccepting(reservation.engines.decodeEngine, dependencies.timers.getNow());
		if (!reservation) {
			releaseHeldKvCache(dependencies, served, progress);
			return;
		}

		if (!decodeEngine) {
			// The slot allocator knows an engine that this process doesn't know yet or has removed, or does not know that it wants no requests.
			reservation.release(undefined);
			progress.triedIds.add(reservation.engines.decodeEngine);
			continue;
		}

		const attempt = yield * runReserved(dependencies, served, progress, {reservation, decodeEngine});
		if (attempt === 'again') {
			continue;
		}

		if (!attempt || !(yield * decideNext(dependencies, served, progress, attempt))) {
			return;
		}
	}
}

/** Runs a generation on its reserved engines; returns the attempt if the caller's answer has not ended, `'again'` if nothing was sent to the decode engine, and otherwise `undefined`. */
function * runReserved(
	dependencies: GatewayDependencies,
	served: ServedRequest,
	progress: GenerationProgress,
	{reservation, decodeEngine}: {readonly reservation: Reservation; readonly decodeEngine: EngineView},
): Procedure<Attempt | 'again' | undefined> {
	let hasSend = false;
	try {
		const prefillResult = yield * runPrefill(dependencies, served, progress, reservation);
		if (prefillResult === 'rejected' && !(yield * callStep('take a permit to retry', async () => takeRetry(dependencies, served, progress)))) {
			refuseRetry(dependencies, served, progress.runs > 0);
			return undefined;
		}

		const kvCacheHandle = typeof prefillResult === 'object' ? prefillResult : undefined;
		const isAccepting = served.fleet.findAccepting(decodeEngine.record.id, dependencies.timers.getNow()) !== undefined;
		if (!isAccepting) {
			// The engine began to leave, or left, or asked for a pause during the prefill: another one continues from the KV cache.
			progress.triedIds.add(decodeEngine.record.id);
		}

		if (!isAccepting || computeQuarantineMs(dependencies, progress) > 0) {
			progress.heldKvCache = kvCacheHandle;
			return 'again';
		}

		const options = createSendOptions(served, progress, reservation, kvCacheHandle);
		const first = new StreamSend(dependencies, served, {reservation, engine: decodeEngine}, options);
		hasSend = true;
		const attempt = yield * relayFrom(dependencies, served, progress, first);
		if (first.attempt.isNotRun && kvCacheHandle) {
			void releaseKvCache(dependencies, served, kvCacheHandle);
		}

		return attempt;
	} finally {
		if (!hasSend) {
			reservation.release(undefined);
		}
	}
}

/**
Sends a generation and relays its stream, and that of each further engine which takes it over from a silent one. Returns the last attempt if the
caller's answer has not ended.
*/
function * relayFrom(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress, first: StreamSend): Procedure<Attempt | undefined> {
	let send = first;
	for (;;) {
		const takeover = createTakeover(dependencies, served, progress, send);
		const current = send;
		let isDone = false;
		try {
			yield * callStep('send to the engine that writes', async () => current.open());
			isDone = yield * callStep('pass the stream on', async () => relayStream(dependencies, served, {
				progress, send: current, takeover, mayResume: hasRunsLeft(served, progress),
			}));
			yield * callStep('check the engine', async () => current.attempt.checkEngine());
		} finally {
			current.close();
		}

		if (isDone) {
			yield * callStep('end the further send', async () => takeover.stop());
			return undefined;
		}

		const next = yield * callStep('wait for the further engine', async () => takeover.finish());
		if (!next) {
			return current.attempt;
		}

		countFailed(progress, current);
		dependencies.reporter.onRetry(current.attempt.trace.sign === engineOutcome.silent ? retryReason.silentStream : retryReason.brokenStream);
		send = next;
	}
}

function createSendOptions(served: ServedRequest, progress: GenerationProgress, reservation: Reservation, kvCacheHandle: PrefilledKvCache | undefined): StreamSendOptions {
	return {
		purpose: progress.lastEventId === undefined ? 'run' : 'resume',
		continueFrom: kvCacheHandle,
		fetchFrom: kvCacheHandle ? undefined : findAddress(served, reservation.engines.prefixSource),
		resumeAfter: progress.lastEventId,
		silenceTimeoutMs: served.route.isResumable ? computeSilenceTimeoutMs(served, reservation, decodeSilenceTargets) : undefined,
		mayReuseIdle: served.route.isResumable,
	};
}

/** Creates the search for a further engine that begins when the engine of `send` is silent. */
function createTakeover(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress, send: StreamSend): StreamTakeover {
	const takeover = new StreamTakeover(dependencies, served, send, {
		isPermitted: () => findAccessRefusal(dependencies, served) === undefined
			&& hasRunsLeft(served, progress) && computeQuarantineMs(dependencies, progress) === 0 && hasOtherEngine(dependencies, served, send.attempt.view),
		acquire: async signal => dependencies.reservations.acquire(createReservationRequest(dependencies, served, progress, [send.engineId]), signal),
		createOptions: reservation => createSendOptions(served, progress, reservation, undefined),
		onFailed(further) {
			countFailed(progress, further);
		},
	});
	send.onSilence = () => {
		takeover.start();
	};

	return takeover;
}

/** Whether a stream may be resumed at a further engine while one is at work on it. */
function hasRunsLeft(served: ServedRequest, progress: GenerationProgress): boolean {
	return isResumable(served, progress) && progress.runs + 1 < served.route.maxRuns;
}

/** Whether another engine may go on with a request that one may have run. What has reached its caller without an id can't be continued, and would be sent twice. */
function isResumable({route, answer}: ServedRequest, {lastEventId}: GenerationProgress): boolean {
	return route.isResumable && (!answer.isStarted || lastEventId !== undefined);
}

/** Counts an attempt that has failed, and excludes its engine. */
function countFailed(progress: GenerationProgress, {engineId, attempt}: StreamSend): void {
	progress.triedIds.add(engineId);
	progress.countAttempt(attempt);
}

/** Returns whether to try another engine after a failed attempt; if not, ends the caller's answer. */
function * decideNext(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress, attempt: Attempt): Procedure<boolean> {
	progress.triedIds.add(attempt.view.record.id);
	progress.countAttempt(attempt);
	const isUnbudgeted = attempt.isNotSent && progress.hasConnectTriesLeft;
	const mayRetry = !served.signal.aborted && (attempt.isNotRun || (isResumable(served, progress) && progress.runs < served.route.maxRuns));
	if (mayRetry && (isUnbudgeted || (!attempt.isNotSent && (yield * callStep('take a permit to retry', async () => takeRetry(dependencies, served, progress)))))) {
		dependencies.reporter.onRetry(selectRetryReason(attempt, retryReason.brokenStream));
		return true;
	}

	if (attempt.isNotRun && progress.runs === 0 && !served.signal.aborted) {
		refuseRetry(dependencies, served, false);
	} else {
		finishUnanswered(served, attempt);
	}

	return false;
}

/** Computes for how much longer a generation is refused because its prompt has blocks that crash engines, in milliseconds. */
function computeQuarantineMs({quarantine, timers}: GatewayDependencies, {needs}: GenerationProgress): number {
	return quarantine.computeRemainingMs(needs.prefixBlocks, timers.getNow());
}

async function acquireReservation(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress): Promise<Reservation | undefined> {
	const now = dependencies.timers.getNow();
	const quarantineMs = computeQuarantineMs(dependencies, progress);
	if (quarantineMs > 0) {
		dependencies.reservations.connect(served.service);
		refuseQuarantined(served, quarantineMs, progress.runs > 0);
		return undefined;
	}

	const decodeEngines = served.fleet.listServing(served.service).filter(view => isDecodeEngine(view));
	if (isPausedUntil(served.deadlineAt, decodeEngines, now)) {
		refusePaused(dependencies, served, progress.runs > 0);
		return undefined;
	}

	for (;;) {
		try {
			const signal = progress.runs > 0 ? served.signal : served.waitSignal;
			const reservation = await dependencies.reservations.acquire(createReservationRequest(dependencies, served, progress), signal);
			served.trace.onAdmitted(reservation.engines.firstTokenMs);
			return reservation;
		} catch (error) {
			// An engine may have run a part of the answer: no refusal would be true, and the rest may still come.
			const mayGoOn = progress.runs > 0 && error instanceof NotRunError && error.reason !== refusalReason.quarantined;
			if (!mayGoOn || !(await waitToRetry(dependencies, served, progress))) {
				refuseUnadmitted(served, error, progress.runs > 0);
				return undefined;
			}

			if (!served.fleet.listServing(served.service).some(view => isDecodeEngine(view) && !progress.triedIds.has(view.record.id))) {
				// Those that failed may have recovered.
				progress.triedIds.clear();
			}
		}
	}
}

/** Waits for a permit to send a generation once more. One whose answer has not begun fails at once without it: its caller may retry. */
async function takeRetry(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress): Promise<boolean> {
	for (;;) {
		if (dependencies.retryBudget.tryTake(served.service)) {
			return true;
		}

		if (!served.answer.isStarted || !(await waitToRetry(dependencies, served, progress))) {
			return false;
		}
	}
}

/** Waits a little before a request that may have run is tried again; returns `false` when its caller will have left. */
async function waitToRetry({timers}: GatewayDependencies, served: ServedRequest, {waitsSince}: GenerationProgress): Promise<boolean> {
	if (timers.getNow() + retryIntervalMs >= Math.min(served.deadlineAt, waitsSince + served.route.firstByteTimeoutMs)) {
		return false;
	}

	await timers.sleep(retryIntervalMs, served.signal);
	return !served.signal.aborted;
}

function createReservationRequest(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress, excludedEngines: readonly string[] = []): ReservationRequest {
	const now = dependencies.timers.getNow();
	const customer = served.request.credential?.customer;
	served.trace.estimatedMs = dependencies.serviceTimes.estimateMs(served.route.name, served.deadlineAt - now);
	return {
		...progress.needs,
		service: served.service,
		// The caller of an answer that has begun waits for its next event.
		targetMs: served.answer.isStarted ? served.route.targetMs : served.targetAt - now,
		deadlineMs: served.deadlineAt - now,
		firstByteTimeoutMs: progress.waitsSince + served.route.firstByteTimeoutMs - now,
		serviceMs: served.trace.estimatedMs,
		excludedEngines: [...progress.triedIds, ...excludedEngines, ...served.fleet.listUnavailable(served.service, now)],
		...(customer && {customer: normalizeCustomerName(customer.name), priority: customer.priority ?? served.route.priority}),
	};
}

/**
Runs the prefill on the reservation's prefill engine. Returns `undefined` when there is none or it fails: the decode engine
then runs the prefill itself. Returns `'rejected'` when the prefill engine refused the request: one more send then needs a
permit of the retry budget.
*/
function * runPrefill(
	dependencies: GatewayDependencies,
	served: ServedRequest,
	progress: GenerationProgress,
	reservation: Reservation,
): Procedure<PrefilledKvCache | 'rejected' | undefined> {
	const {heldKvCache} = progress;
	if (heldKvCache) {
		progress.heldKvCache = undefined;
		reservation.onPrefillEnd(undefined);
		return heldKvCache;
	}

	const prefillEngine = reservation.engines.prefillEngine === undefined ? undefined : served.fleet.findAccepting(reservation.engines.prefillEngine, dependencies.timers.getNow());
	if (!prefillEngine || progress.prefillAttempts > 0) {
		// A second prefill would count as a retry.
		if (reservation.engines.prefillEngine !== undefined) {
			reservation.onPrefillEnd(undefined);
		}

		return undefined;
	}

	progress.prefillAttempts++;
	const options: AttemptOptions = {
		purpose: 'prefill',
		fetchFrom: findAddress(served, reservation.engines.prefixSource),
		silenceTimeoutMs: computeSilenceTimeoutMs(served, reservation, prefillSilenceTargets),
		// The decode engine, which has a place for the request, takes the prefill over.
		onSilence() {
			attempt.cancel();
		},
		mayReuseIdle: true,
	};
	const attempt = new Attempt(dependencies, served, prefillEngine, options);
	yield * callStep('send to the engine that reads', async () => attempt.send(served, options));
	const handle = yield * callStep('read the handle', async () => readHandle(dependencies, attempt));
	yield * callStep('check the engine', async () => attempt.checkEngine());
	reservation.onPrefillEnd(attempt.trace.sign);
	if (handle !== undefined) {
		return {address: prefillEngine.record.address, handle, engineId: prefillEngine.record.id};
	}

	dependencies.reporter.onRetry(retryReason.prefillFailed);
	return attempt.isNotRun && !attempt.isNotSent ? 'rejected' : undefined;
}

/** Frees the KV cache that no decode engine will use, if there is one. */
function releaseHeldKvCache(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress): void {
	if (progress.heldKvCache) {
		void releaseKvCache(dependencies, served, progress.heldKvCache);
		progress.heldKvCache = undefined;
	}
}

/** Frees a KV cache. Where the engine's limit allows no request it is left to expire there. Never throws: the request goes on meanwhile. */
async function releaseKvCache({link, permits, reporter}: GatewayDependencies, {fleet, request}: ServedRequest, handle: PrefilledKvCache): Promise<void> {
	try {
		const engine = fleet.findServing(handle.engineId)?.record;
		if (!engine || !permits.isLimited(engine) || await permits.takePermit(engine)) {
			link.releaseKvCache(handle, handle.engineId);
		}
	} catch (error) {
		reporter.onTaskFailed('free a KV cache', request.id, error);
	}
}

async function readHandle(dependencies: GatewayDependencies, attempt: Attempt): Promise<string | undefined> {
	if (!attempt.reply || attempt.isNotRun) {
		return undefined;
	}

	try {
		const handle = await dependencies.link.readHandle(attempt.reply);
		attempt.finish();
		return handle;
	} catch (error) {
		attempt.abort(error);
		return undefined;
	}
}

/** A stream that is relayed from an engine to the caller. */
type StreamRelay = {
	readonly progress: GenerationProgress;
	readonly send: StreamSend;
	readonly takeover: StreamTakeover;
	readonly mayResume: boolean;
};

/** Relays complete events until the stream ends or a further engine takes it over; returns whether the caller's answer has ended. */
async function relayStream(dependencies: GatewayDependencies, served: ServedRequest, relay: StreamRelay): Promise<boolean> {
	const {progress, send, takeover} = relay;
	const {attempt} = send;
	const {reply} = attempt;
	if (!reply || attempt.isNotRun) {
		return false;
	}

	if (!attempt.isSuccess) {
		return relayFailure(served, attempt, relay.mayResume);
	}

	if (!send.isAccepted) {
		attempt.abort(new TypeError(reply.hasReceipt ? `The answer to the rest of a stream is no stream of events (status ${reply.status}).` : 'The answer has a 2xx status but no receipt.'));
		return false;
	}

	try {
		for (let events = await send.readEvents(); events && !takeover.winner; events = await send.readEvents()) {
			takeover.cancel();
			await writeEvents(dependencies, served, send, events.bytes);
			progress.lastEventId = events.lastId ?? progress.lastEventId;
			progress.waitsSince = dependencies.timers.getNow();
		}
	} catch (error) {
		attempt.abort(error);
		return false;
	}

	if (takeover.winner) {
		attempt.abort(new BrokenAnswerError('Another engine has taken the stream over.'));
		return false;
	}

	if (send.isEmpty) {
		attempt.abort(new BrokenAnswerError(emptyStreamMessage));
		return false;
	}

	startAnswer(dependencies, served, send);
	attempt.finish();
	dependencies.quarantine.onPromptAnswered(progress.needs.prefixBlocks, dependencies.timers.getNow());
	served.answer.finish();
	served.trace.finish('answered', undefined, reply.status);
	return true;
}

async function writeEvents(dependencies: GatewayDependencies, served: ServedRequest, send: StreamSend, bytes: Uint8Array): Promise<void> {
	reportBegun(dependencies, served);
	startAnswer(dependencies, served, send);
	send.attempt.stopSilenceTimer();
	await served.answer.write(bytes);
	send.attempt.onProgress();
}

/** Sends the status and header of the first engine that answers; a further one goes on within its answer. */
function startAnswer(dependencies: GatewayDependencies, served: ServedRequest, {attempt: {reply}}: StreamSend): void {
	if (served.answer.isStarted || !reply) {
		return;
	}

	served.answer.start(reply.status, reply.headers, undefined);
	served.trace.onFirstByte();
	dependencies.serviceTimes.add(served.route.name, (served.trace.firstByteMs ?? 0) - (served.trace.waitedMs ?? 0));
}

/** Relays an engine's error answer, unless the request may be resumed at another engine; returns whether the caller's answer has ended. */
async function relayFailure(served: ServedRequest, attempt: Attempt, mayResume: boolean): Promise<boolean> {
	const body = await attempt.readBody();
	attempt.finish();
	if (!body || !attempt.reply || attempt.isUnprovenRefusal || mayResume || served.answer.isStarted) {
		return false;
	}

	served.answer.start(attempt.reply.status, attempt.reply.headers, body.length);
	void served.answer.write(body);
	served.answer.finish();
	served.trace.finish('answered', refusalReason.upstreamFailed, attempt.reply.status);
	return true;
}

/** Computes the silence after which a send is aborted, in milliseconds: a multiple of the route's target, and longer where the engine is expected to take long. */
function computeSilenceTimeoutMs({route}: ServedRequest, {engines}: Reservation, targets: number): number {
	return Math.max(minSilenceTimeoutMs, route.targetMs * targets, engines.firstTokenMs * maxExpectedMultiple);
}

function isDecodeEngine({record}: EngineView): boolean {
	return record.stage !== engineStage.prefill;
}

/** Tells whether another engine than `view` could decode an answer now. */
function hasOtherEngine({timers}: GatewayDependencies, {fleet, service}: ServedRequest, view: EngineView): boolean {
	return fleet.listServing(service).some(other => other !== view && isDecodeEngine(other) && other.isAvailable(timers.getNow()));
}

function findAddress(served: ServedRequest, engineId: string | undefined): string | undefined {
	return engineId === undefined ? undefined : served.fleet.findServing(engineId)?.record.address;
}

function createNeeds(prompt: Prompt | undefined, model: ModelEngineSpec | undefined): GenerationNeeds {
	const sharedBlocks = (prompt?.prefixBlocks ?? []).slice(0, -1);
	const sharedTokens = sharedBlocks.reduce((sum, block) => sum + block.tokens, 0);
	return {
		prefixBlocks: sharedBlocks,
		uniqueTokens: Math.max(0, (prompt?.promptTokens ?? 0) - sharedTokens),
		outputTokens: prompt?.outputTokens ?? 0,
		kvCapacityTokens: model?.kvCapacityTokens ?? 0,
		kvTransferMsPerToken: model?.kvTransferMsPerToken ?? 0,
	};
}
