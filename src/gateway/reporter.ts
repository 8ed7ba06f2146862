import type {Histogram} from 'prom-client';
import type {EngineView} from '../dispatch/index.js';
import type {RefusalReason} from '../errors/index.js';
import {formatError} from '../errors/index.js';
import type {StructuredLogs} from '../logs/index.js';
import type {Metrics} from '../metrics/index.js';
import {RequestReporter} from './trace.js';
import type {ExtraSendEnd, RequestTrace, TakeoverEnd} from './trace.js';
import type {Prompt} from './types.js';

/** Upper bounds of the histograms' buckets, in seconds: they lie around the targets of the shortest and the longest kinds of request. */
const bucketBoundsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15];
const millisecondsPerSecond = 1000;
/** Maximum number of a prompt's shared blocks that a log line names, and maximum length of a block's id there: callers choose both. */
const maxLoggedBlocks = 8;
const maxLoggedIdLength = 32;
/** Age of the latest news from the store from which a request's line names it, in milliseconds: more than the time between two answers to a watch. */
const minLoggedNewsAgeMs = 2500;

/** Writes a log line for each ended request, and records requests and retries in the metrics. */
export class LogReporter extends RequestReporter {
	readonly #logs: StructuredLogs;
	readonly #metrics: Metrics;
	readonly #requestSeconds: Histogram;
	readonly #waitSeconds: Histogram;
	readonly #attemptSeconds: Histogram;
	readonly #overlapSeconds: Histogram;
	readonly #getNewsAgeMs: () => number;

	/** `getNewsAgeMs` returns the age of the latest news of engines and configuration, in milliseconds. */
	constructor(logs: StructuredLogs, metrics: Metrics, getNewsAgeMs: () => number = () => 0) {
		super();
		this.#logs = logs;
		this.#metrics = metrics;
		this.#getNewsAgeMs = getNewsAgeMs;
		this.#requestSeconds = metrics.createHistogram('crocus_request_seconds', 'Time from a request to the end of its answer', bucketBoundsSeconds);
		// Metrics call a reservation a place.
		this.#waitSeconds = metrics.createHistogram('crocus_place_wait_seconds', 'Time that a request waited for a place', bucketBoundsSeconds);
		this.#attemptSeconds = metrics.createHistogram('crocus_attempt_seconds', 'Time of one send to an engine', bucketBoundsSeconds);
		this.#overlapSeconds = metrics.createHistogram('crocus_overlap_seconds', 'Time for which two engines worked on one stream', bucketBoundsSeconds);
	}

	onEnd(trace: RequestTrace): void {
		this.#metrics.count('requests', trace.outcome ?? 'failed');
		if (trace.outcome === 'refused') {
			this.#metrics.count('refusals', trace.reason ?? 'unknown');
		}

		this.#requestSeconds.observe(trace.totalMs / millisecondsPerSecond);
		if (trace.waitedMs !== undefined) {
			this.#waitSeconds.observe(trace.waitedMs / millisecondsPerSecond);
		}

		for (const {tookMs, missingMs} of trace.attempts) {
			this.#attemptSeconds.observe((tookMs ?? 0) / millisecondsPerSecond);
			if (missingMs !== undefined) {
				this.#metrics.count('missingSends', trace.service ?? 'unknown');
			}
		}

		const newsAgeMs = this.#getNewsAgeMs();
		this.#logs.write('request', {
			...createLogFields(trace), ...(newsAgeMs < minLoggedNewsAgeMs ? {} : {newsAgeMs: formatNumber(newsAgeMs)}),
		}, `request ${trace.outcome ?? 'failed'}`);
	}

	onRetry(reason: string): void {
		this.#metrics.count('retries', reason);
	}

	onAccessRefused(reason: RefusalReason, requestId: string | undefined): void {
		this.#metrics.count('refusals', reason);
		this.#logs.write('caller', {request: requestId ?? null, reason}, 'request refused by its API key before its body was read; nothing was sent to an engine');
	}

	onLeaving({record: {id, service}}: EngineView, requestId: string): void {
		this.#metrics.count('registrations', 'leaving_by_answer');
		this.#logs.write('engine', {engine: id, service, request: requestId}, 'answer says that the engine leaves; it gets no more requests, whatever its registration says');
	}

	onSilence({record: {id, service}}: EngineView, requestId: string): void {
		this.#metrics.count('engineSilences', service);
		this.#logs.write('engine', {engine: id, service, request: requestId}, 'engine sends nothing; it gets no further requests for a time, and its answers are awaited');
	}

	onResume({record: {id, service}}: EngineView, requestId: string): void {
		this.#logs.write('engine', {engine: id, service, request: requestId}, 'engine goes on after a silence; it gets a trial request');
	}

	onTakeover({record: {id, service}}: EngineView, further: EngineView, requestId: string): void {
		this.#metrics.count('furtherSends', service);
		this.#logs.write('engine', {
			engine: id, service, request: requestId, further: further.record.id,
		}, 'engine is silent; its request is sent to a further engine, and the first to answer serves it');
	}

	onExtraSend({record: {id, service}}: EngineView, further: EngineView, requestId: string, elapsedMs: number): void {
		this.#metrics.count('extraSends', 'sent');
		this.#logs.write('engine', {
			engine: id, service, request: requestId, further: further.record.id, elapsedMs: Math.round(elapsedMs),
		}, 'request is slow; it is also sent to a further engine, and the first to answer serves it');
	}

	onExtraSendEnd({record: {id, service}}: EngineView, requestId: string, {isWon, extraMs}: ExtraSendEnd): void {
		this.#metrics.count('extraSends', isWon ? 'won' : 'lost');
		this.#logs.write('engine', {
			engine: id, service, request: requestId, isWon, extraMs: Math.round(extraMs),
		}, isWon ? 'extra send answers first; the other is ended' : 'extra send does not serve its request');
	}

	onTakeoverEnd({record: {id, service}}: EngineView, further: EngineView, requestId: string, {overlapMs, isTakenOver}: TakeoverEnd): void {
		this.#overlapSeconds.observe(overlapMs / millisecondsPerSecond);
		this.#logs.write('engine', {
			engine: id, service, request: requestId, further: further.record.id, overlapMs: Math.round(overlapMs), isTakenOver,
		}, isTakenOver ? 'further engine serves the request; the send to the silent one is ended' : 'send to the further engine is ended');
	}

	onUnprovenRefusal({record: {id, service}}: EngineView, requestId: string, status: number): void {
		this.#metrics.count('unprovenRefusals', String(status));
		this.#logs.write('engine', {
			engine: id, service, request: requestId, status,
		}, 'engine answers with a status that promises that the request has not run, and does not state it');
	}

	onSearchFailed({record: {id, service}}: EngineView, requestId: string, error: Error): void {
		this.#logs.write('engine', {
			engine: id, service, request: requestId, error: `${error.name}: ${error.message}`,
		}, 'search for a further engine failed; the answer of the silent engine is awaited');
	}

	onTaskFailed(task: string, requestId: string, error: unknown): void {
		this.#metrics.count('unhandledErrors', 'task');
		this.#logs.write('error', {task, request: requestId, error: formatError(error)}, 'work beside a request failed; the request goes on');
	}

	onPause({record: {id, service}}: EngineView, requestId: string, durationMs: number): void {
		this.#metrics.count('pauses', service);
		this.#logs.write('engine', {
			engine: id, service, request: requestId, durationMs: Math.round(durationMs),
		}, 'engine refused and named a time to come back; it gets no requests until then');
	}
}

function createLogFields(trace: RequestTrace): Record<string, unknown> {
	return {
		id: trace.request.id,
		version: trace.configurationVersion,
		route: trace.route?.name,
		service: trace.service,
		outcome: trace.outcome ?? 'failed',
		...(trace.reason === undefined ? {} : {reason: trace.reason}),
		status: trace.status,
		deadlineMs: trace.request.callerDeadlineMs,
		...(trace.request.prompt ? createPromptFields(trace.request.prompt) : {}),
		waitedMs: formatNumber(trace.waitedMs),
		expectedMs: formatNumber(trace.expectedMs),
		estimatedMs: formatNumber(trace.estimatedMs),
		firstByteMs: formatNumber(trace.firstByteMs),
		totalMs: formatNumber(trace.totalMs),
		...(trace.refusedPermits === 0 ? {} : {refusedPermits: trace.refusedPermits}),
		attempts: trace.attempts.map(attempt => ({
			...attempt,
			atMs: formatNumber(attempt.atMs),
			load: formatNumber(attempt.load),
			loadAgeMs: formatNumber(attempt.loadAgeMs),
			tookMs: formatNumber(attempt.tookMs),
		})),
	};
}

/** Names the blocks that a prompt shares with others, which tell what requests that end together have in common. */
function createPromptFields({promptTokens, outputTokens, prefixBlocks}: Prompt): Record<string, unknown> {
	const sharedBlocks = prefixBlocks.slice(0, -1).slice(0, maxLoggedBlocks).map(({id}) => id.slice(0, maxLoggedIdLength));
	return {promptTokens, outputTokens, ...(sharedBlocks.length === 0 ? {} : {prefixBlocks: sharedBlocks})};
}

/** Rounds to a tenth; returns `undefined`, which leaves the field out of the log line, for a value that was not measured. */
function formatNumber(value: number | undefined): number | undefined {
	return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value * 10) / 10;
}
