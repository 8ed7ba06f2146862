import {NotRunError, SilentAnswerError} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {GenerateRequest} from '../upstreams/index.js';
import type {Attempt} from './attempt.js';
import type {StreamDependencies, StreamJob} from './job.js';

/** `endSignal` is aborted when the transfer is no longer wanted. */
type KvContext = {readonly dependencies: StreamDependencies; readonly endSignal: AbortSignal};

/**
Has the placement's prefill engine compute the KV cache of the prompt and its decode engine fetch it. Returns the handle
of the imported cache, or `undefined` when there is no prefill engine or the transfer failed; the decode engine then
prefills the prompt itself.
*/
export function * importPrefilledKv(attempt: Attempt, job: StreamJob, {dependencies, endSignal}: KvContext): Procedure<string | undefined> {
	const {prefillEngine: prefill, upstream, relayAddress: via} = attempt.placement;
	if (!prefill || via !== undefined) {
		return undefined;
	}

	const controller = new AbortController();
	const onAbort = () => {
		controller.abort();
	};

	const timer = dependencies.timers.startTimeout(dependencies.getTimeouts(attempt.placement, false).firstEventTimeoutMs, onAbort);
	const signals = [dependencies.signal, endSignal];
	for (const signal of signals) {
		signal.addEventListener('abort', onAbort, {once: true});
		if (signal.aborted) {
			onAbort();
		}
	}

	try {
		const exported = yield * callStep('export the KV cache', async () => waitUnlessAborted(controller.signal, runTracked(dependencies, prefill.id, async () =>
			dependencies.getConnection({upstream: prefill}, false).client.exportKv(createRequest(job), controller.signal))));
		const imported = yield * callStep('import the KV cache', async () => waitUnlessAborted(controller.signal, runTracked(dependencies, upstream.id, async () =>
			attempt.client.importKv(prefill.address, exported.handle, controller.signal))));
		return imported.handle;
	} catch {
		dependencies.metrics.count('dropped', 'kv_transfer');
		return undefined;
	} finally {
		timer.cancel();
		for (const signal of signals) {
			signal.removeEventListener('abort', onAbort);
		}
	}
}

/** Waits for a result until `signal` is aborted. The call itself stays counted as running until it ends. */
async function waitUnlessAborted<Result>(signal: AbortSignal, result: Promise<Result>): Promise<Result> {
	const aborted = new Promise<never>((_resolve, reject) => {
		const onAbort = () => {
			reject(new SilentAnswerError('KV cache transfer aborted: it timed out or is no longer wanted'));
		};

		signal.addEventListener('abort', onAbort, {once: true});
		if (signal.aborted) {
			onAbort();
		}
	});
	return Promise.race([result, aborted]);
}

/** Counts the call as running at the engine until it ends, so that a drain waits for it. Throws `NotRunError` when the engine has closed. */
async function runTracked<Result>({router}: StreamDependencies, upstream: string, call: () => Promise<Result>): Promise<Result> {
	if (!router.isAvailable(upstream)) {
		throw new NotRunError(`engine ${upstream} has closed; the KV cache call was not sent`);
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

function createRequest({request, prompt}: StreamJob): GenerateRequest {
	return {
		id: request.id,
		model: request.model,
		version: request.version,
		adapter: request.adapter,
		prompt,
		promptTokens: request.promptTokens,
		maxTokens: request.maxTokens,
		offset: 0,
		priority: request.priority,
	};
}
