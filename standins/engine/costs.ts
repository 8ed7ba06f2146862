import type {EngineRole} from '../../src/deployment/index.js';

/** Tokens of one piece of KV capacity, and of one chunk of prefill. */
export const pieceTokens = 1000;

/** What a step of the engine costs and holds, by role. Times are in milliseconds at time scale 1. */
export type RoleCosts = {
	/** Time of every step. */
	readonly baseMs: number;
	/** Chunks of prompts that one step takes at most. */
	readonly maxChunks: number;
	/** Time of one chunk. */
	readonly chunkMs: number;
	/** Sequences that decode in one step at most. */
	readonly maxDecodingSequences: number;
	/** Time of one decoding sequence. */
	readonly sequenceMs: number;
	/** Factor on a step that both prefills and decodes. */
	readonly interferenceFactor: number;
};

/** Costs of each role: prefill reads fast, decode writes to many at once, mixed does both at a loss. */
export const roleCosts: Readonly<Record<EngineRole, RoleCosts>> = {
	prefill: {
		baseMs: 8, maxChunks: 4, chunkMs: 20, maxDecodingSequences: 12, sequenceMs: 1, interferenceFactor: 1,
	},
	decode: {
		baseMs: 8, maxChunks: 1, chunkMs: 70, maxDecodingSequences: 64, sequenceMs: 0.3, interferenceFactor: 1,
	},
	mixed: {
		baseMs: 8, maxChunks: 2, chunkMs: 30, maxDecodingSequences: 24, sequenceMs: 0.5, interferenceFactor: 1.35,
	},
};

/** Bytes of KV cache of one token. */
export const kvBytesPerToken = 131_072;

/** Bytes of KV cache that one engine fetches from another in a millisecond. */
export const kvBytesPerMs = 10_000_000;

/** Time away for a change of role alone, in milliseconds at time scale 1. */
export const roleChangeMs = 3000;

/** Bytes of the weights of a model, and of an adapter. */
export const modelBytes = 16_000_000_000;
export const adapterBytes = 200_000_000;

/** Bytes of weights that an engine loads in a millisecond when no weight store tells otherwise. */
export const weightBytesPerMs = 4_000_000;
