import {randomUUID} from 'node:crypto';
import type {GenerateRequest, KvHandle} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {kvBytesPerToken} from './costs.js';

/** Largest number of KV caches held; the oldest is dropped when there are more. */
const maxHandles = 256;

/** A KV cache that is held: its handle, its size and the prompt it belongs to. */
export type KvRecord = KvHandle & {
	/** Model, version, adapter and prompt that it was computed from, joined by line breaks. */
	readonly source: string;
};

/** KV caches that an engine holds for a limited time, by handle. */
export class KvStore {
	readonly #records = new Map<string, KvRecord>();

	constructor(private readonly timers: TimerService, private readonly holdMs: number) {}

	/** Adds the KV cache of a request's prompt under a new handle. */
	add(request: GenerateRequest): KvRecord {
		return this.import({handle: '', bytes: request.promptTokens * kvBytesPerToken, source: getSource(request)});
	}

	/** Adds a KV cache that came from another engine under a new handle. */
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

	/** Finds a KV cache by its handle; `undefined` when it is not held, or no longer. */
	findRecord(handle: string): KvRecord | undefined {
		return this.#records.get(handle);
	}

	/** Checks whether the handle that a request names is held and belongs to the request's prompt. */
	has(request: GenerateRequest): boolean {
		return request.kv !== undefined && this.#records.get(request.kv)?.source === getSource(request);
	}

	/** Drops all KV caches, as a restart does. */
	reset(): void {
		this.#records.clear();
	}
}

function getSource(request: GenerateRequest): string {
	return [request.model, request.version, request.adapter ?? '', request.prompt].join('\n');
}
