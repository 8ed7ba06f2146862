import {createHash} from 'node:crypto';

/** Size of one block of a prompt in characters: 256 tokens at 4 characters per token. */
const blockCharacters = 1024;

/** Size of one block of a prompt in tokens. */
export const blockTokens = 256;

const hashCharacters = 16;

/** Everything that the KV cache of a prompt depends on. */
export type PrefixInput = {
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly prompt: string;
};

/**
Returns the hashes of a prompt's prefixes, one for each whole block, the shortest prefix first. The cache events of an engine name
prefixes by the same hashes, so that routing can tell how much of a prompt's KV cache the engine holds.
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
