import type {Histogram} from 'prom-client';
import type {StructuredLogs} from '../logs/index.js';
import type {Metrics} from '../metrics/index.js';
import {RequestReport} from './trace.js';
import type {RequestTrace} from './trace.js';

/** Upper bounds of the histograms, in seconds: around the targets of the shortest and the longest kinds of request. */
const buckets = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15];
const millisecondsPerSecond = 1000;

/** Writes one line for each ended request and counts it. */
export class LoggedReport extends RequestReport {
	readonly #logs: StructuredLogs;
	readonly #metrics: Metrics;
	readonly #total: Histogram;
	readonly #waited: Histogram;
	readonly #attempts: Histogram;

	constructor(logs: StructuredLogs, metrics: Metrics) {
		super();
		this.#logs = logs;
		this.#metrics = metrics;
		this.#total = metrics.createHistogram('crocus_request_seconds', 'Time from a request to the end of its answer', buckets);
		this.#waited = metrics.createHistogram('crocus_place_wait_seconds', 'Time that a request waited for a place', buckets);
		this.#attempts = metrics.createHistogram('crocus_attempt_seconds', 'Time of one send to an engine', buckets);
	}

	onEnd(trace: RequestTrace): void {
		this.#metrics.count('requests', trace.outcome ?? 'failed');
		if (trace.outcome === 'refused') {
			this.#metrics.count('refusals', trace.reason ?? 'unknown');
		}

		this.#total.observe(trace.totalMs / millisecondsPerSecond);
		if (trace.waitedMs !== undefined) {
			this.#waited.observe(trace.waitedMs / millisecondsPerSecond);
		}

		for (const {tookMs} of trace.attempts) {
			this.#attempts.observe((tookMs ?? 0) / millisecondsPerSecond);
		}

		this.#logs.write('request', createLine(trace), `request ${trace.outcome ?? 'failed'}`);
	}

	onRetry(reason: string): void {
		this.#metrics.count('retries', reason);
	}
}

function createLine(trace: RequestTrace): Record<string, unknown> {
	return {
		id: trace.request.id,
		version: trace.version,
		route: trace.route?.name,
		service: trace.service,
		outcome: trace.outcome ?? 'failed',
		...(trace.reason === undefined ? {} : {reason: trace.reason}),
		status: trace.status,
		deadlineMs: trace.request.callerDeadlineMs,
		...(trace.request.prompt ? {promptTokens: trace.request.prompt.promptTokens, outputTokens: trace.request.prompt.outputTokens} : {}),
		waitedMs: formatTime(trace.waitedMs),
		firstByteMs: formatTime(trace.firstByteMs),
		totalMs: formatTime(trace.totalMs),
		attempts: trace.attempts.map(attempt => ({
			...attempt,
			atMs: formatTime(attempt.atMs),
			load: formatTime(attempt.load),
			loadAgeMs: formatTime(attempt.loadAgeMs),
			tookMs: formatTime(attempt.tookMs),
		})),
	};
}

/** Rounds to a tenth; a time that was not measured is left out of the line. */
function formatTime(value: number | undefined): number | undefined {
	return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value * 10) / 10;
}
