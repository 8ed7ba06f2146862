import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {RefusalReason, RetryReason} from '../errors/index.js';

/** Counters of the process by name: the help text and the label, if it has one. Callers are never a label. */
const counterDefinitions = {
	/** One for each refusal of a request. */
	refusals: {name: 'crocus_refusals_total', help: 'Requests refused, by reason', label: 'reason'},
	/** One for each further attempt. */
	retries: {name: 'crocus_retries_total', help: 'Further attempts, by reason', label: 'reason'},
	/** Answers, events or frames that were late, crossed or not ours, and dropped. */
	dropped: {name: 'crocus_dropped_total', help: 'Late, crossed or malformed messages dropped, by kind', label: 'kind'},
	/** Requests by how they ended. */
	requests: {name: 'crocus_requests_total', help: 'Requests ended, by outcome', label: 'outcome'},
	/** Orders to engines by how they ended. */
	orders: {name: 'crocus_orders_total', help: 'Orders to engines, by outcome', label: 'outcome'},
	/** Takeovers of a failure domain's authority by how they ended. */
	takeovers: {name: 'crocus_takeovers_total', help: 'Takeovers of the domain\'s authority, by outcome', label: 'outcome'},
	/** Calls of the platform's store by how they ended. */
	storeCalls: {name: 'crocus_store_calls_total', help: 'Calls of the store, by outcome', label: 'outcome'},
	/** Configurations that were read, by what became of them. */
	configurations: {name: 'crocus_configurations_total', help: 'Configurations read, by outcome', label: 'outcome'},
	/** Changes of engines' registrations. */
	registrations: {name: 'crocus_registrations_total', help: 'Changes of registrations, by kind', label: 'kind'},
	/** Bytes between entries. */
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

	/** Raises a counter by `by` under one value of its label. */
	count(counter: CounterName, label: string, amount = 1): void {
		this.#counters.get(counter)?.inc({[counterDefinitions[counter].label]: label}, amount);
	}

	/** Counts one refusal. */
	countRefusal(reason: RefusalReason): void {
		this.count('refusals', reason);
	}

	/** Counts one further attempt. */
	countRetry(reason: RetryReason): void {
		this.count('retries', reason);
	}

	/** Makes a gauge that is read by calling `read` whenever metrics are collected. */
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

	/** Makes a histogram over the given upper bounds. */
	createHistogram(name: string, help: string, buckets: number[]): Histogram {
		return new Histogram({
			name, help, buckets, registers: [this.registry],
		});
	}

	/** Adds the process's own figures: processor time, memory, delay of the loop. */
	addProcessMetrics(): void {
		collectDefaultMetrics({register: this.registry});
	}

	/** Formats every metric as text for a scrape. */
	async format(): Promise<string> {
		return this.registry.metrics();
	}
}
