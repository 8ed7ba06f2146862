import {createHash} from 'node:crypto';

/** Characters of one block of a prompt: 256 tokens at 4 characters a token. */
const blockCharacters = 1024;

/** Tokens of one block of a prompt. */
export const blockTokens = 256;

const hashCharacters = 16;

/** What a prompt's KV cache depends on. */
export type PrefixInput = {
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly prompt: string;
};

/**
Hashes the prefixes of a prompt, one for each whole block, shortest first. An engine's cache events name prefixes by
the same hashes, so that routing can tell how much of a prompt an engine holds.
*/
export function hashPrefixes(input: PrefixInput): string[] {
	const prefixes: string[] = [];
	let previousHash = `${input.model}\n${input.version}\n${input.adapter ?? ''}`;
	for (let end = blockCharacters; end <= input.prompt.length; end += blockCharacters) {
		const block = input.prompt.slice(end - blockCharacters, end);
		previousHash = createHash('sha256').update(previousHash).update('\n').update(block).digest('hex').slice(0, hashCharacters);
		prefixes.push(previousHash);
	}

	return prefixes;
}
