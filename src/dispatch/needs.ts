import type {PrefixBlock} from './prefixcache.js';

/** What a generation needs from its engines. */
export type GenerationNeeds = {
	/** Blocks of the prompt that other requests share, in order. */
	readonly prefixBlocks: readonly PrefixBlock[];
	/** Tokens of the prompt beyond its shared blocks. */
	readonly uniqueTokens: number;
	/** Maximum number of tokens that it generates. */
	readonly outputTokens: number;
	/** KV memory of an engine, in tokens; 0 if it is not known. */
	readonly kvCapacityTokens: number;
	/** Time to transfer the KV cache of one token between two engines, in milliseconds. */
	readonly kvTransferMsPerToken: number;
};
