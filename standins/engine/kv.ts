import {randomUUID} from 'node:crypto';
import type {GenerateRequest, KvHandle} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {kvBytesPerToken} from './costs.js';

const maxHandles = 256;

/** A KV cache held for import: which prompt it is of, and its size. */
export type KvRecord = KvHandle & {
	/** Model, version, adapter and prompt that it was computed from. */
	readonly source: string;
};

/** KV caches that an engine holds for a time, by handle. */
export class KvStore {
	readonly #records = new Map<string, KvRecord>();

	constructor(private readonly timers: TimerService, private readonly holdMs: number) {}

	/** Holds the KV cache of a request's prompt. */
	add(request: GenerateRequest): KvRecord {
		return this.import({handle: '', bytes: request.promptTokens * kvBytesPerToken, source: getSource(request)});
	}

	/** Holds a KV cache that came from another engine, under a handle of its own. */
	import(record: KvRecord): KvRecord {
		const held = {...record, handle: randomUUID()};
		this.#records.set(held.handle, held);
		const [oldest] = this.#records.keys();
		if (this.#records.size > maxHandles && oldest !== undefined) {
			this.#records.delete(oldest);
		}

		this.timers.startTimer(this.holdMs, () => {
			this.#records.delete(held.handle);
		});
		return held;
	}

	/** Finds a KV cache by its handle. */
	findRecord(handle: string): KvRecord | undefined {
		return this.#records.get(handle);
	}

	/** Asks whether the handle that a request names is held and is of its prompt. */
	has(request: GenerateRequest): boolean {
		return request.kv !== undefined && this.#records.get(request.kv)?.source === getSource(request);
	}

	/** Forgets everything, as a restart does. */
	reset(): void {
		this.#records.clear();
	}
}

function getSource(request: GenerateRequest): string {
	return [request.model, request.version, request.adapter ?? '', request.prompt].join('\n');
}
