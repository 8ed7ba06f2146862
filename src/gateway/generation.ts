import type {EngineSign, EngineView, GenerationNeeds} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import type {HeldPlace} from '../places/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {finishUnanswered, refuseWithoutPlace, refuseNotRun} from './ending.js';
import {EventCutter} from './events.js';
import type {PromptHandle} from './ports.js';
import {selectRetryReason, SendCount} from './run.js';
import type {GatewayParts, ServedRequest} from './served.js';
import type {Prompt} from './types.js';

/** Multiple of the target after which an engine that only reads is given up: the engine that writes can read too. */
const silentReaderTargets = 2.5;
/** Multiple of the target after which a silent stream that can be resumed goes on elsewhere. */
const silentWriterTargets = 3.3;
/** Least silence before a stream goes on elsewhere, in milliseconds: longer than the pauses that callers accept. */
const leastSilenceMs = 400;

/** How far one generation has come. */
class Generation extends SendCount {
	readonly needs: GenerationNeeds;
	/** Ids of engines that failed it. */
	readonly tried = new Set<string>();
	/** Prompts that engines were asked to read. */
	reads = 0;
	/** Id of the last event that the caller has. */
	lastId: string | undefined;

	constructor(prompt: Prompt | undefined) {
		super();
		this.needs = createNeeds(prompt);
	}
}

/** Serves one generation: a place, the prompt read, the stream passed on, and resumed where it breaks and that is allowed. */
export function * serveGeneration(parts: GatewayParts, served: ServedRequest): Procedure<void> {
	const generation = new Generation(served.request.prompt);
	for (;;) {
		const place = yield * callStep('wait for a place', async () => acquirePlace(parts, served, generation));
		const writer = place && served.fleet.findServing(place.engines.decodeEngine);
		if (!place) {
			return;
		}

		if (!writer) {
			// The keeper knows an engine that this process does not, or no longer.
			place.release(undefined);
			generation.tried.add(place.engines.decodeEngine);
			continue;
		}

		const attempt = yield * runAtPlace(parts, served, generation, {place, writer});
		if (!attempt || !decideNext(parts, served, generation, attempt)) {
			return;
		}
	}
}

/** Runs a generation at its place; returns the attempt when the caller's answer has not ended. */
function * runAtPlace(
	parts: GatewayParts,
	served: ServedRequest,
	generation: Generation,
	{place, writer}: {readonly place: HeldPlace; readonly writer: EngineView},
): Procedure<Attempt | undefined> {
	let sign: EngineSign | undefined;
	try {
		const handle = yield * readPrompt(parts, served, generation, place);
		if (handle === 'rejected' && !parts.budget.tryTake(served.service)) {
			refuseNotRun(parts, served, refusalReason.retryBudget);
			return undefined;
		}

		const mayResume = served.route.resumable && generation.runs + 1 < served.route.attempts;
		const kept = typeof handle === 'object' ? handle : undefined;
		const attempt = yield * callStep('send to the engine that writes', async () => callEngine(parts, served, writer, {
			purpose: generation.lastId === undefined ? 'run' : 'resume',
			continueFrom: kept,
			fetchFrom: kept ? undefined : findAddress(served, place.engines.prefixSource),
			resumeAfter: generation.lastId,
			silenceMs: mayResume ? Math.max(leastSilenceMs, served.route.targetMs * silentWriterTargets) : undefined,
			mayReuseIdle: served.route.resumable,
		}));
		const isDone = yield * callStep('pass the stream on', async () => sendStream(parts, served, {
			generation, attempt, place, mayResume,
		}));
		sign = attempt.trace.sign;
		if (attempt.isNotRun && kept && place.engines.prefillEngine !== undefined) {
			parts.link.release(kept, place.engines.prefillEngine);
		}

		return isDone ? undefined : attempt;
	} finally {
		place.release(sign);
	}
}

/** Decides whether a generation that has not ended goes on at another engine; ends it where it doesn't. */
function decideNext(parts: GatewayParts, served: ServedRequest, generation: Generation, attempt: Attempt): boolean {
	generation.tried.add(attempt.view.record.id);
	generation.add(attempt);
	const mayResume = served.route.resumable && generation.runs < served.route.attempts;
	const isFree = attempt.isNotSent && generation.hasTriesLeft;
	const mayTryAgain = !served.signal.aborted && (attempt.isNotRun || mayResume);
	if (mayTryAgain && (isFree || (!attempt.isNotSent && parts.budget.tryTake(served.service)))) {
		parts.report.onRetry(selectRetryReason(attempt, attempt.trace.sign === 'silent' ? retryReason.silentStream : retryReason.brokenStream));
		return true;
	}

	if (attempt.isNotRun && generation.runs === 0 && !served.signal.aborted) {
		refuseNotRun(parts, served, refusalReason.retryBudget);
	} else {
		finishUnanswered(served, attempt);
	}

	return false;
}

async function acquirePlace(parts: GatewayParts, served: ServedRequest, generation: Generation): Promise<HeldPlace | undefined> {
	const now = parts.timers.getNow();
	const closed = served.fleet.listServing(served.service).filter(view => !view.health.isOpen(now)).map(view => view.record.id);
	try {
		const place = await parts.places.acquire({
			...generation.needs,
			service: served.service,
			targetMs: served.targetAt - now,
			deadlineMs: served.deadlineAt - now,
			firstByteTimeoutMs: served.request.arrivedAt + served.route.patienceMs - now,
			serviceMs: parts.serviceTimes.get(served.route.name),
			kvCapacityTokens: served.engineTokens,
			excludedEngines: [...generation.tried, ...closed],
		}, served.signal);
		served.trace.onPlace();
		return place;
	} catch (error) {
		refuseWithoutPlace(served, error, generation.runs > 0);
		return undefined;
	}
}

/** Has the prompt read where the place names a reader; the engine that writes reads it itself where that fails. */
function * readPrompt(
	parts: GatewayParts,
	served: ServedRequest,
	generation: Generation,
	place: HeldPlace,
): Procedure<PromptHandle | 'rejected' | undefined> {
	const reader = place.engines.prefillEngine === undefined ? undefined : served.fleet.findServing(place.engines.prefillEngine);
	if (!reader || generation.reads > 0) {
		// A second read would count as a further send.
		if (place.engines.prefillEngine !== undefined) {
			place.onPrefillEnd(undefined);
		}

		return undefined;
	}

	generation.reads++;
	const attempt = yield * callStep('send to the engine that reads', async () => callEngine(parts, served, reader, {
		purpose: 'prefill',
		fetchFrom: findAddress(served, place.engines.prefixSource),
		silenceMs: Math.max(leastSilenceMs, served.route.targetMs * silentReaderTargets),
		mayReuseIdle: true,
	}));
	const handle = yield * callStep('read the handle', async () => readHandle(parts, attempt));
	place.onPrefillEnd(attempt.trace.sign);
	if (handle !== undefined) {
		return {address: reader.record.address, handle};
	}

	parts.report.onRetry(retryReason.prefillFailed);
	return attempt.isNotRun && !attempt.isNotSent ? 'rejected' : undefined;
}

async function readHandle(parts: GatewayParts, attempt: Attempt): Promise<string | undefined> {
	if (!attempt.reply || attempt.isNotRun) {
		return undefined;
	}

	try {
		const handle = await parts.link.readHandle(attempt.reply);
		attempt.finish();
		return handle;
	} catch (error) {
		attempt.abort(error);
		return undefined;
	}
}

/** One stream on its way from an engine to the caller. */
type Passage = {
	readonly generation: Generation;
	readonly attempt: Attempt;
	readonly place: HeldPlace;
	readonly mayResume: boolean;
};

/** Passes on whole events; returns whether the caller's answer has ended. */
async function sendStream(parts: GatewayParts, served: ServedRequest, passage: Passage): Promise<boolean> {
	const {generation, attempt, mayResume} = passage;
	const {reply} = attempt;
	if (!reply || attempt.isNotRun) {
		return false;
	}

	if (!attempt.isSuccess) {
		return sendFailure(served, attempt, mayResume);
	}

	if (!reply.hasReceipt) {
		attempt.abort(new TypeError('The success has no receipt.'));
		return false;
	}

	const cutter = new EventCutter();
	try {
		for await (const piece of attempt.generateBody()) {
			const events = cutter.add(piece);
			if (events) {
				await writeEvents(parts, served, passage, events.bytes);
				generation.lastId = events.lastId ?? generation.lastId;
			}
		}

		await writeEvents(parts, served, passage, cutter.takeRest());
	} catch (error) {
		attempt.abort(error);
		return false;
	}

	attempt.finish();
	served.answer.finish();
	served.trace.finish('answered', undefined, reply.status);
	return true;
}

async function writeEvents(parts: GatewayParts, served: ServedRequest, {attempt, place}: Passage, bytes: Uint8Array): Promise<void> {
	if (!served.answer.isStarted && attempt.reply) {
		// Its first event tells that the prompt was read, wherever that was.
		place.onPrefillEnd('answered');
		served.answer.start(attempt.reply.status, attempt.reply.headers, undefined);
		served.trace.onFirstByte();
		parts.serviceTimes.add(served.route.name, (served.trace.firstByteMs ?? 0) - (served.trace.waitedMs ?? 0));
	}

	if (bytes.length > 0) {
		await served.answer.write(bytes);
	}
}

/** Passes an engine's failure on, unless the request may go on elsewhere. */
async function sendFailure(served: ServedRequest, attempt: Attempt, mayResume: boolean): Promise<boolean> {
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

function findAddress(served: ServedRequest, engineId: string | undefined): string | undefined {
	return engineId === undefined ? undefined : served.fleet.findServing(engineId)?.record.address;
}

function createNeeds(prompt: Prompt | undefined): GenerationNeeds {
	const shared = (prompt?.parts ?? []).slice(0, -1);
	const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
	return {
		shared,
		ownTokens: Math.max(0, (prompt?.promptTokens ?? 0) - sharedTokens),
		outputTokens: prompt?.outputTokens ?? 0,
	};
}
