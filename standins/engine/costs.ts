import type {EngineRole} from '../../src/deployment/index.js';

/** Tokens of one piece (the unit of KV cache capacity), and of one chunk of a prefill. */
export const pieceTokens = 1000;

/** Durations and limits of an engine's batching steps. Durations are in milliseconds at time scale 1. */
export type RoleCosts = {
	/** Fixed duration of every step. */
	readonly baseMs: number;
	/** Largest number of prompt chunks that one step prefills. */
	readonly maxChunks: number;
	/** Duration added by each chunk. */
	readonly chunkMs: number;
	/** Largest number of sequences that decode in one step. */
	readonly maxDecodingSequences: number;
	/** Duration added by each decoding sequence. */
	readonly sequenceMs: number;
	/** Factor on the duration of a step that both prefills and decodes. */
	readonly interferenceFactor: number;
};

/** Costs of each role: `prefill` prefills fast, `decode` decodes many sequences at once, `mixed` does both with interference. */
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

/** Bytes of KV cache for each token. */
export const kvBytesPerToken = 131_072;

/** Rate at which an engine fetches KV cache from another. */
export const kvBytesPerMs = 10_000_000;

/** Time that an engine is away for a change of role without loading weights, in milliseconds at time scale 1. */
export const roleChangeMs = 3000;

/** Bytes of a model's weights. */
export const modelBytes = 16_000_000_000;

/** Bytes of an adapter's weights. */
export const adapterBytes = 200_000_000;

/** Rate at which an engine loads weights when no weight store sets the time. */
export const weightBytesPerMs = 4_000_000;
