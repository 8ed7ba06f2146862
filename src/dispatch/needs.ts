import type {PrefixBlock} from './prefixcache.js';

/** What a generation asks of its place. */
export type GenerationNeeds = {
	/** Parts of the prompt that other requests share, in order. */
	readonly prefixBlocks: readonly PrefixBlock[];
	/** Tokens that only this request has. */
	readonly uniqueTokens: number;
	/** Most tokens that it generates. */
	readonly outputTokens: number;
};
