import {engineRole} from '../../src/deployment/index.js';
import type {EngineTarget} from '../../src/upstreams/index.js';

/** How an engine's stand-in is set up. */
export type EngineOptions = {
	/** What it is after a start. */
	readonly setup: EngineTarget;
	/** KV capacity in pieces of a thousand tokens. */
	readonly pieces: number;
	/** Factor on every time of the engine's own work; 0.1 runs ten times faster. */
	readonly timeScale: number;
	/** Whether it refuses orders with an old fencing number; otherwise it ignores the numbers. */
	readonly isFenced: boolean;
	/** Requests that wait for KV capacity at most; further ones are refused as not run. */
	readonly maxWaitingRequests: number;
	/** Blocks that the prefix cache holds. */
	readonly maxCacheBlocks: number;
	/** Age of a load report, in milliseconds. */
	readonly loadLagMs: number;
	/** Age at which a cache event can be read, in milliseconds. */
	readonly cacheLagMs: number;
	/** Time from the close of a request's connection to its cancellation, in milliseconds. */
	readonly reattachTimeoutMs: number;
	/** Time for which an exported KV cache is held, in milliseconds. */
	readonly kvHoldMs: number;
};

/** Options of a usual engine. */
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
