import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {RefusalReason, RetryReason} from '../errors/index.js';

/** Counters by their name in the code. Callers are never a label. */
const counterDefinitions = {
	refusals: {name: 'crocus_refusals_total', help: 'Requests refused, by reason', label: 'reason'},
	/** Clients outside the limits. */
	intakeRefusals: {name: 'crocus_intake_refusals_total', help: 'Clients outside the limits that were refused or whose connection was closed, by reason', label: 'reason'},
	retries: {name: 'crocus_retries_total', help: 'Further attempts, by reason', label: 'reason'},
	/** Answers whose engine was silent for too long. */
	silences: {name: 'crocus_answer_silences_total', help: 'Answers of engines that fell silent, by what became of them', label: 'outcome'},
	/** Responses, events and frames that were dropped because they were late, out of order, or meant for another receiver. */
	dropped: {name: 'crocus_dropped_total', help: 'Late, crossed or malformed messages dropped, by kind', label: 'kind'},
	requests: {name: 'crocus_requests_total', help: 'Requests ended, by outcome', label: 'outcome'},
	orders: {name: 'crocus_orders_total', help: 'Orders to engines, by outcome', label: 'outcome'},
	takeovers: {name: 'crocus_takeovers_total', help: 'Takeovers of the domain\'s authority, by outcome', label: 'outcome'},
	/** Calls to the platform's store; see `storeOutcome` for the outcomes. */
	storeCalls: {name: 'crocus_store_calls_total', help: 'Calls of the store, by outcome', label: 'outcome'},
	configurations: {name: 'crocus_configurations_total', help: 'Configurations read, by outcome', label: 'outcome'},
	/** Changes of engines' registrations. */
	registrations: {name: 'crocus_registrations_total', help: 'Changes of registrations, by kind', label: 'kind'},
	/** Sends to engines whose registrations were missing, which are kept for a time. */
	missingSends: {name: 'crocus_missing_engine_sends_total', help: 'Sends to engines whose registration is missing, by service', label: 'service'},
	/** Refusals of engines that named a time in which they want no request of this process. */
	pauses: {name: 'crocus_engine_pauses_total', help: 'Pauses that engines asked for, by service', label: 'service'},
	engineSilences: {name: 'crocus_engine_silences_total', help: 'Engines that became suspect as they sent nothing, by service', label: 'service'},
	furtherSends: {name: 'crocus_further_sends_total', help: 'Requests sent to a further engine while their first one was silent, by service', label: 'service'},
	loadReports: {name: 'crocus_load_reports_total', help: 'Load reports of application engines that name a slowdown, by where they came from', label: 'source'},
	extraSends: {name: 'crocus_extra_sends_total', help: 'Hedged requests: sends to a second engine before the first one answered, by what became of them', label: 'outcome'},
	/** The label takes only the few statuses that promise this. */
	unprovenRefusals: {name: 'crocus_unproven_refusals_total', help: 'Answers of engines with a status that promises that the request has not run, which do not state it, by status', label: 'status'},
	/** Crashes of engines with requests on them, as the slot allocator sees them. */
	engineCrashes: {name: 'crocus_engine_crashes_total', help: 'Engines that crashed with requests on them, by service', label: 'service'},
	/** Changes of what is known of blocks that crash engines. */
	quarantines: {name: 'crocus_quarantine_changes_total', help: 'Changes of the quarantined blocks of prompts, by cause', label: 'cause'},
	/** Changes of what is known of engines' limits on requests. */
	requestLimits: {name: 'crocus_request_limit_changes_total', help: 'Limits on requests that engines named, changed or dropped, by cause', label: 'cause'},
	/** Calls of the platform by holders of duties; see `dutyOutcome` for the outcomes. */
	dutyCalls: {name: 'crocus_duty_calls_total', help: 'Calls of the platform by the holder of a duty, by outcome', label: 'outcome'},
	dutyTerms: {name: 'crocus_duty_terms_total', help: 'Terms of this entry as the holder of a duty, by what happened', label: 'change'},
	/** See `windowOutcome` for the outcomes. */
	usageWindows: {name: 'crocus_usage_windows_total', help: 'Usage windows that this entry reported or gave up, by outcome', label: 'outcome'},
	dutyStoreFailures: {name: 'crocus_duty_store_failures_total', help: 'Failed calls of the store for duties, by task', label: 'task'},
	/** Orders of engines; see `dutyOutcome` for the outcomes. */
	engineOrders: {name: 'crocus_engine_orders_total', help: 'Orders of numbers of engines, by outcome', label: 'outcome'},
	/** Errors that ended neither a request nor the process; each has a log line. */
	unhandledErrors: {name: 'crocus_unhandled_errors_total', help: 'Errors that no code expected, by where they surfaced', label: 'kind'},
	peerBytes: {name: 'crocus_peer_bytes_total', help: 'Bytes sent to and received from other entries', label: 'direction'},
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof counterDefinitions;

/**
The metrics of one process.

@example
```
metrics.countRefusal('deadline');
```
*/
export class Metrics {
	readonly registry = new Registry();
	readonly #counters = new Map<CounterName, Counter>();

	constructor() {
		for (const [key, {name, help, label}] of Object.entries(counterDefinitions)) {
			this.#counters.set(key as CounterName, new Counter({
				name, help, labelNames: [label], registers: [this.registry],
			}));
		}
	}

	/** Adds `amount` to a counter under one value of its label. */
	count(counter: CounterName, label: string, amount = 1): void {
		this.#counters.get(counter)?.inc({[counterDefinitions[counter].label]: label}, amount);
	}

	/** Counts one refused request. */
	countRefusal(reason: RefusalReason): void {
		this.count('refusals', reason);
	}

	/** Counts one retry, that is a further attempt at the same request. */
	countRetry(reason: RetryReason): void {
		this.count('retries', reason);
	}

	/** Creates a gauge whose value is read by calling `read` each time metrics are collected. */
	createGauge(name: string, help: string, read: () => number): Gauge {
		const gauge: Gauge = new Gauge({
			name,
			help,
			registers: [this.registry],
			collect() {
				gauge.set(read());
			},
		});
		return gauge;
	}

	/** Creates a gauge with one value for each of a few values of a label; `read` is called each time metrics are collected. */
	createLabelledGauge(name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): Gauge {
		const gauge: Gauge = new Gauge({
			name,
			help,
			labelNames: [label],
			registers: [this.registry],
			collect() {
				for (const [value, count] of Object.entries(read())) {
					gauge.set({[label]: value}, count);
				}
			},
		});
		return gauge;
	}

	/** Creates a histogram; `buckets` are the upper bounds. */
	createHistogram(name: string, help: string, buckets: number[]): Histogram {
		return new Histogram({
			name, help, buckets, registers: [this.registry],
		});
	}

	/** Adds the metrics of the Node process: CPU time, memory, event-loop delay. */
	addProcessMetrics(): void {
		collectDefaultMetrics({register: this.registry});
	}

	/** Formats all metrics in the Prometheus text format. */
	async format(): Promise<string> {
		return this.registry.metrics();
	}
}
