import {engineRole} from '../../src/deployment/index.js';
import type {EngineTarget} from '../../src/upstreams/index.js';

/** Options of an engine's stand-in. */
export type EngineOptions = {
	/** Role, model, version and adapters after a start. */
	readonly setup: EngineTarget;
	/** KV cache capacity in pieces of 1,000 tokens. */
	readonly pieces: number;
	/** Factor on all durations of the engine's work; 0.1 runs ten times faster. */
	readonly timeScale: number;
	/** Whether the engine refuses orders with a fence below the highest one it got; otherwise it ignores fences. */
	readonly isFenced: boolean;
	/** Largest number of requests that wait for KV cache capacity; further ones are refused as not run. */
	readonly maxWaitingRequests: number;
	/** Largest number of blocks in the prefix cache. */
	readonly maxCacheBlocks: number;
	/** Time until a load report is visible to readers, in milliseconds. */
	readonly loadLagMs: number;
	/** Time until a cache event is visible to readers, in milliseconds. */
	readonly cacheLagMs: number;
	/** Time after the close of a request's connection in which another connection may attach to it; the request is cancelled afterwards. */
	readonly reattachTimeoutMs: number;
	/** Time for which an exported or imported KV cache is held, in milliseconds. */
	readonly kvHoldMs: number;
};

/** Options of a typical engine. */
export const defaultEngineOptions: EngineOptions = {
	setup: {
		role: engineRole.mixed, model: 'contracts', version: '1', adapters: [],
	},
	pieces: 64,
	timeScale: 1,
	isFenced: true,
	maxWaitingRequests: 256,
	maxCacheBlocks: 256,
	loadLagMs: 300,
	cacheLagMs: 300,
	reattachTimeoutMs: 2000,
	kvHoldMs: 30_000,
};
