import type {SharedPart} from './cache.js';

/** What a generation asks of its place. */
export type GenerationNeeds = {
	/** Parts of the prompt that other requests share, in order. */
	readonly shared: readonly SharedPart[];
	/** Tokens that only this request has. */
	readonly ownTokens: number;
	/** Most tokens that it generates. */
	readonly outputTokens: number;
};
