import {NotRunError, SilentAnswerError} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {GenerateRequest} from '../upstreams/index.js';
import type {Attempt} from './attempt.js';
import type {StreamJob, StreamParts} from './job.js';

/**
Has the prompt read by the engine that prefills and its KV cache fetched by the one that decodes. Returns the
handle to generate with; `undefined` when there is none, and the engine reads the prompt itself.
*/
export function * importPrefilled(attempt: Attempt, job: StreamJob, parts: StreamParts): Procedure<string | undefined> {
	const {prefillEngine: prefill, upstream, relayAddress: via} = attempt.placement;
	if (!prefill || via !== undefined) {
		return undefined;
	}

	const abort = new AbortController();
	const onAbort = () => {
		abort.abort();
	};

	const timer = parts.timers.startTimer(parts.getLimits(attempt.placement, false).firstEventMs, onAbort);
	parts.signal.addEventListener('abort', onAbort, {once: true});
	try {
		const source = yield * callStep('export the KV cache', async () => waitWithin(abort.signal, runCounted(parts, prefill.id, async () =>
			parts.getEngine({upstream: prefill}, false).client.exportKv(createRequest(job), abort.signal))));
		const target = yield * callStep('import the KV cache', async () => waitWithin(abort.signal, runCounted(parts, upstream.id, async () =>
			attempt.client.importKv(prefill.address, source.handle, abort.signal))));
		return target.handle;
	} catch {
		parts.metrics.count('dropped', 'kv_transfer');
		return undefined;
	} finally {
		timer.cancel();
		parts.signal.removeEventListener('abort', onAbort);
	}
}

/** Waits for a result no longer than until `signal`; what was begun goes on being counted. */
async function waitWithin<Result>(signal: AbortSignal, result: Promise<Result>): Promise<Result> {
	const late = new Promise<never>((_resolve, reject) => {
		signal.addEventListener('abort', () => {
			reject(new SilentAnswerError('the KV cache did not come in time'));
		}, {once: true});
	});
	return Promise.race([result, late]);
}

/** Counts the call as running at the engine, so that a drain waits for it. */
async function runCounted<Result>({router}: StreamParts, upstream: string, call: () => Promise<Result>): Promise<Result> {
	if (!router.isAvailable(upstream)) {
		throw new NotRunError(`${upstream} closed before the send`);
	}

	router.onCallSent(upstream);
	try {
		const result = await call();
		router.onCallEnd(upstream, placementOutcome.done);
		return result;
	} catch (error) {
		router.onCallEnd(upstream, placementOutcome.failed);
		throw error;
	}
}

function createRequest({work, prompt}: StreamJob): GenerateRequest {
	return {
		id: work.id,
		model: work.model,
		version: work.version,
		adapter: work.adapter,
		prompt,
		promptTokens: work.promptTokens,
		maxTokens: work.maxTokens,
		offset: 0,
		priority: work.priority,
	};
}
