import {engineStage, isPausedUntil} from '../dispatch/index.js';
import type {EngineOutcome, EngineView, GenerationNeeds} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import type {Reservation} from '../places/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {
	finishUnanswered, refuseNotRun, refusePaused, refuseQuarantined, refuseUnadmitted,
} from './ending.js';
import {EventSplitter} from './events.js';
import type {KvCacheHandle} from './ports.js';
import {selectRetryReason, RequestProgress} from './progress.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import type {ModelEngineSpec, Prompt} from './types.js';

/** Multiple of the route's target after which a silent prefill is aborted: the decode engine can run the prefill too. */
const prefillSilenceTargets = 2.5;
/** Multiple of the route's target after which a silent stream that can be resumed is moved to another engine. */
const decodeSilenceTargets = 3.3;
/** Multiple of the expected time to the first token up to which a silent engine may still be at work. */
const maxExpectedMultiple = 2.5;
/** Shortest silence after which a send is aborted, in milliseconds: longer than the pauses between events that callers accept. */
const minSilenceTimeoutMs = 400;

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
	/** KV cache of the prompt that no decode engine was told of yet. */
	heldKvCache: PrefilledKvCache | undefined;

	constructor(prompt: Prompt | undefined, model: ModelEngineSpec | undefined) {
		super();
		this.needs = createNeeds(prompt, model);
	}
}

/**
Serves one generation: acquires a reservation, prefills the prompt and relays the stream. A stream that breaks is resumed
at another engine where the route allows it.
*/
export function * serveGeneration(dependencies: GatewayDependencies, served: ServedRequest): Procedure<void> {
	const progress = new GenerationProgress(served.request.prompt, served.model);
	for (;;) {
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

		if (!attempt || !decideNext(dependencies, served, progress, attempt)) {
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
	let outcome: EngineOutcome | undefined;
	try {
		const prefillResult = yield * runPrefill(dependencies, served, progress, reservation);
		if (prefillResult === 'rejected' && !dependencies.retryBudget.tryTake(served.service)) {
			refuseNotRun(dependencies, served, refusalReason.retryBudget);
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

		const mayResume = served.route.isResumable && progress.runs + 1 < served.route.maxRuns;
		const attempt = yield * callStep('send to the engine that writes', async () => callEngine(dependencies, served, decodeEngine, {
			purpose: progress.lastEventId === undefined ? 'run' : 'resume',
			continueFrom: kvCacheHandle,
			fetchFrom: kvCacheHandle ? undefined : findAddress(served, reservation.engines.prefixSource),
			resumeAfter: progress.lastEventId,
			silenceTimeoutMs: mayResume ? computeSilenceTimeoutMs(served, reservation, decodeSilenceTargets) : undefined,
			tryTakeRetry: () => hasOtherEngine(dependencies, served, decodeEngine) && dependencies.retryBudget.tryTake(served.service),
			mayReuseIdle: served.route.isResumable,
		}));
		const isDone = yield * callStep('pass the stream on', async () => relayStream(dependencies, served, {
			progress, attempt, reservation, mayResume,
		}));
		yield * callStep('check the engine', async () => attempt.checkEngine());
		outcome = attempt.trace.sign;
		if (attempt.isNotRun && kvCacheHandle) {
			void releaseKvCache(dependencies, served, kvCacheHandle);
		}

		return isDone ? undefined : attempt;
	} finally {
		reservation.release(outcome);
	}
}

/** Returns whether to try another engine after a failed attempt; if not, ends the caller's answer. */
function decideNext(dependencies: GatewayDependencies, served: ServedRequest, progress: GenerationProgress, attempt: Attempt): boolean {
	progress.triedIds.add(attempt.view.record.id);
	progress.countAttempt(attempt);
	const mayResume = served.route.isResumable && progress.runs < served.route.maxRuns;
	const isUnbudgeted = attempt.isNotSent && progress.hasConnectTriesLeft;
	const mayRetry = !served.signal.aborted && (attempt.isNotRun || mayResume);
	if (mayRetry && (isUnbudgeted || attempt.hasRetryPermit || (!attempt.isNotSent && dependencies.retryBudget.tryTake(served.service)))) {
		dependencies.reporter.onRetry(selectRetryReason(attempt, attempt.trace.sign === 'silent' ? retryReason.silentStream : retryReason.brokenStream));
		return true;
	}

	if (attempt.isNotRun && progress.runs === 0 && !served.signal.aborted) {
		refuseNotRun(dependencies, served, refusalReason.retryBudget);
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

	const decodeEngines = served.fleet.listServing(served.service).filter(view => view.record.stage !== engineStage.prefill);
	if (isPausedUntil(served.deadlineAt, decodeEngines, now)) {
		refusePaused(dependencies, served, progress.runs > 0);
		return undefined;
	}

	try {
		const reservation = await dependencies.reservations.acquire({
			...progress.needs,
			service: served.service,
			targetMs: served.targetAt - now,
			deadlineMs: served.deadlineAt - now,
			firstByteTimeoutMs: served.request.arrivedAt + served.route.firstByteTimeoutMs - now,
			serviceMs: dependencies.serviceTimes.estimateMs(served.route.name),
			excludedEngines: [...progress.triedIds, ...served.fleet.listUnavailable(served.service, now)],
		}, served.signal);
		served.trace.onAdmitted(reservation.engines.firstTokenMs);
		return reservation;
	} catch (error) {
		refuseUnadmitted(served, error, progress.runs > 0);
		return undefined;
	}
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
	const attempt = yield * callStep('send to the engine that reads', async () => callEngine(dependencies, served, prefillEngine, {
		purpose: 'prefill',
		fetchFrom: findAddress(served, reservation.engines.prefixSource),
		silenceTimeoutMs: computeSilenceTimeoutMs(served, reservation, prefillSilenceTargets),
		mayReuseIdle: true,
	}));
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

/** Frees a KV cache. Where the engine's limit allows no request it is left to expire there. */
async function releaseKvCache({link, permits}: GatewayDependencies, {fleet}: ServedRequest, handle: PrefilledKvCache): Promise<void> {
	const engine = fleet.findServing(handle.engineId)?.record;
	if (!engine || !permits.isLimited(engine) || await permits.takePermit(engine)) {
		link.releaseKvCache(handle, handle.engineId);
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
	readonly attempt: Attempt;
	readonly reservation: Reservation;
	readonly mayResume: boolean;
};

/** Relays complete events; returns whether the caller's answer has ended. */
async function relayStream(dependencies: GatewayDependencies, served: ServedRequest, relay: StreamRelay): Promise<boolean> {
	const {progress, attempt, mayResume} = relay;
	const {reply} = attempt;
	if (!reply || attempt.isNotRun) {
		return false;
	}

	if (!attempt.isSuccess) {
		return relayFailure(served, attempt, mayResume);
	}

	if (!reply.hasReceipt) {
		attempt.abort(new TypeError('The answer has a 2xx status but no receipt.'));
		return false;
	}

	const splitter = new EventSplitter();
	try {
		for await (const chunk of attempt.generateBody()) {
			const events = splitter.add(chunk);
			if (events) {
				attempt.onProgress();
				await writeEvents(dependencies, served, relay, events.bytes);
				progress.lastEventId = events.lastId ?? progress.lastEventId;
			}

			attempt.trace.incompleteBytes = splitter.incompleteBytes || undefined;
		}

		await writeEvents(dependencies, served, relay, splitter.finish());
	} catch (error) {
		attempt.abort(error);
		return false;
	}

	attempt.finish();
	dependencies.quarantine.onPromptAnswered(progress.needs.prefixBlocks, dependencies.timers.getNow());
	served.answer.finish();
	served.trace.finish('answered', undefined, reply.status);
	return true;
}

async function writeEvents(dependencies: GatewayDependencies, served: ServedRequest, {attempt, reservation}: StreamRelay, bytes: Uint8Array): Promise<void> {
	if (!served.answer.isStarted && attempt.reply) {
		// The first event shows that the prefill has ended, whichever engine ran it.
		reservation.onPrefillEnd('answered');
		served.answer.start(attempt.reply.status, attempt.reply.headers, undefined);
		served.trace.onFirstByte();
		dependencies.serviceTimes.add(served.route.name, (served.trace.firstByteMs ?? 0) - (served.trace.waitedMs ?? 0));
	}

	if (bytes.length > 0) {
		await served.answer.write(bytes);
	}
}

/** Relays an engine's error answer, unless the request may be resumed at another engine; returns whether the caller's answer has ended. */
async function relayFailure(served: ServedRequest, attempt: Attempt, mayResume: boolean): Promise<boolean> {
	const body = await attempt.readBody();
	attempt.finish();
	if (!body || !attempt.reply || mayResume || served.answer.isStarted) {
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

/** Tells whether another engine than `view` could decode an answer now. */
function hasOtherEngine({timers}: GatewayDependencies, {fleet, service}: ServedRequest, view: EngineView): boolean {
	return fleet.listServing(service).some(other => other !== view && other.record.stage !== engineStage.prefill && other.isAvailable(timers.getNow()));
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
