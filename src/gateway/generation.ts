import {chooseGenerationPlace} from '../dispatch/index.js';
import type {
	EngineView, GenerationNeeds, GenerationPlace, WaitingLine,
} from '../dispatch/index.js';
import {refusalReason, retryReason} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callEngine} from './attempt.js';
import type {Attempt} from './attempt.js';
import {endUnanswered, refuseNotRun, waitForPlace} from './ending.js';
import {EventCutter} from './events.js';
import type {PromptHandle} from './ports.js';
import type {GatewayParts, ServedRequest} from './served.js';
import type {Prompt} from './types.js';

/** Multiple of the target after which an engine that only reads is given up: the engine that writes can read too. */
const silentReaderTargets = 1.5;
/** Multiple of the target after which a silent stream that can be resumed goes on elsewhere. */
const silentWriterTargets = 2;
/** Least silence before a stream goes on elsewhere, in milliseconds: longer than the pauses that callers accept. */
const leastSilenceMs = 250;
/** Time from a place to the first event at an engine that is not busy, in milliseconds: reading, a message each way, one token. */
const serviceMs = 25;
/** Engines that one request may fail to reach; none of them was sent it. */
const mostUnreached = 4;

/** Serves one generation: a place, the prompt read, the stream passed on, and resumed where it breaks and that is allowed. */
export function * serveGeneration(parts: GatewayParts, served: ServedRequest, line: WaitingLine<GenerationPlace>): Procedure<void> {
	const needs = createNeeds(served.request.prompt);
	const tried = new Set<EngineView>();
	const state: StreamState = {lastId: undefined, cutter: new EventCutter()};
	let runs = 0;
	let unreached = 0;
	for (;;) {
		const place = yield * callStep('wait for a place', async () => waitForPlace(parts, served, line, serviceMs, now =>
			chooseGenerationPlace(served.fleet.listServing(served.service), needs, tried, now)));
		if (!place) {
			if (served.answer.isStarted) {
				served.answer.abort();
			}

			return;
		}

		const isPrefillUsed = place.reader !== undefined && !served.trace.attempts.some(({purpose}) => purpose === 'prefill');
		const handle = isPrefillUsed ? yield * readPrompt(parts, served, place) : undefined;
		if (handle === 'rejected' && !parts.budget.tryTake(served.service)) {
			refuseNotRun(parts, served, refusalReason.retryBudget);
			return;
		}

		const mayResume = served.route.resumable && runs + 1 < served.route.attempts;
		const attempt = yield * callStep('send to the engine that writes', async () => callEngine(parts, served, place.writer, {
			purpose: state.lastId === undefined ? 'run' : 'resume',
			continueFrom: typeof handle === 'object' ? handle : undefined,
			fetchFrom: typeof handle === 'object' ? undefined : place.keeper?.record.address,
			resumeAfter: state.lastId,
			silenceMs: mayResume ? Math.max(leastSilenceMs, served.route.targetMs * silentWriterTargets) : undefined,
			mayReuseIdle: served.route.resumable,
		}));
		const isDone = yield * callStep('pass the stream on', async () => passStream(served, attempt, state, mayResume));
		line.serve();
		if (isDone) {
			return;
		}

		if (attempt.isNotRun && typeof handle === 'object') {
			parts.link.release(handle, place.reader?.record.id ?? '');
		}

		tried.add(place.writer);
		runs += attempt.isNotRun ? 0 : 1;
		unreached += attempt.isNotSent ? 1 : 0;
		const isFree = attempt.isNotSent && unreached < mostUnreached;
		const mayTryAgain = !served.signal.aborted && (attempt.isNotRun || mayResume);
		if (mayTryAgain && (isFree || (!attempt.isNotSent && parts.budget.tryTake(served.service)))) {
			parts.report.onRetry(selectReason(attempt));
		} else if (attempt.isNotRun && runs === 0 && !served.signal.aborted) {
			refuseNotRun(parts, served, refusalReason.retryBudget);
			return;
		} else {
			endUnanswered(served, attempt);
			return;
		}
	}
}

/** How far the caller's stream has come. */
type StreamState = {
	lastId: string | undefined;
	cutter: EventCutter;
};

/** Has the prompt read; the engine that writes reads it itself where that fails. */
function * readPrompt(parts: GatewayParts, served: ServedRequest, place: GenerationPlace): Procedure<PromptHandle | 'rejected' | undefined> {
	const {reader, keeper} = place;
	if (!reader) {
		return undefined;
	}

	const attempt = yield * callStep('send to the engine that reads', async () => callEngine(parts, served, reader, {
		purpose: 'prefill',
		fetchFrom: keeper?.record.address,
		silenceMs: served.route.targetMs * silentReaderTargets,
		mayReuseIdle: true,
	}));
	if (!attempt.reply || attempt.isNotRun) {
		parts.report.onRetry(retryReason.prefillFailed);
		return attempt.isNotRun && !attempt.isNotSent ? 'rejected' : undefined;
	}

	try {
		const handle = yield * callStep('read the handle', async () => parts.link.readHandle(attempt.reply!));
		attempt.finish();
		return {address: reader.record.address, handle};
	} catch (error) {
		attempt.fail(error);
		parts.report.onRetry(retryReason.prefillFailed);
		return undefined;
	}
}

/** Passes on whole events; returns whether the caller's answer has ended. */
async function passStream(served: ServedRequest, attempt: Attempt, state: StreamState, mayResume: boolean): Promise<boolean> {
	const {reply} = attempt;
	if (!reply || attempt.isNotRun) {
		return false;
	}

	if (!attempt.isSuccess) {
		return passFailure(served, attempt, mayResume);
	}

	if (!reply.hasReceipt) {
		attempt.fail(new TypeError('The success has no receipt.'));
		return false;
	}

	state.cutter = new EventCutter();
	try {
		for await (const piece of attempt.generateBody()) {
			const events = state.cutter.add(piece);
			if (events) {
				await writeEvents(served, attempt, events.bytes);
				state.lastId = events.lastId ?? state.lastId;
			}
		}

		await writeEvents(served, attempt, state.cutter.takeRest());
	} catch (error) {
		attempt.fail(error);
		return false;
	}

	attempt.finish();
	served.answer.finish();
	served.trace.end('answered', undefined, reply.status);
	return true;
}

async function writeEvents(served: ServedRequest, attempt: Attempt, bytes: Uint8Array): Promise<void> {
	if (!served.answer.isStarted && attempt.reply) {
		served.answer.start(attempt.reply.status, attempt.reply.headers, undefined);
		served.trace.onFirstByte();
	}

	if (bytes.length > 0) {
		await served.answer.write(bytes);
	}
}

/** Passes an engine's failure on, unless the request may go on elsewhere. */
async function passFailure(served: ServedRequest, attempt: Attempt, mayResume: boolean): Promise<boolean> {
	const body = await attempt.readBody();
	if (!body || !attempt.reply || mayResume || served.answer.isStarted) {
		attempt.finish();
		return false;
	}

	attempt.finish();
	served.answer.start(attempt.reply.status, attempt.reply.headers, body.length);
	void served.answer.write(body);
	served.answer.finish();
	served.trace.end('answered', 'upstream_failed', attempt.reply.status);
	return true;
}

function createNeeds(prompt: Prompt | undefined): GenerationNeeds {
	const parts = prompt?.parts ?? [];
	const shared = parts.slice(0, -1);
	const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
	return {
		sharedKey: shared.at(-1)?.id,
		sharedTokens,
		ownTokens: Math.max(0, (prompt?.promptTokens ?? 0) - sharedTokens),
	};
}

function selectReason(attempt: Attempt): string {
	if (attempt.isNotSent) {
		return retryReason.connectFailed;
	}

	if (attempt.isNotRun) {
		return retryReason.refusedNotRun;
	}

	return attempt.trace.sign === 'silent' ? retryReason.silentStream : retryReason.brokenStream;
}
