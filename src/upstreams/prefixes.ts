import {createHash} from 'node:crypto';

/** Characters of one block of a prompt: 256 tokens at 4 characters a token. */
const blockCharacters = 1024;

/** Tokens of one block of a prompt. */
export const blockTokens = 256;

const hashCharacters = 16;

/** What a prompt's KV cache depends on. */
export type PrefixSource = {
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
	readonly prompt: string;
};

/**
Hashes the prefixes of a prompt, one for each whole block, shortest first. An engine's cache events name prefixes by
the same hashes, so that routing can tell how much of a prompt an engine holds.
*/
export function listPrefixes(source: PrefixSource): string[] {
	const prefixes: string[] = [];
	let previous = `${source.model}\n${source.version}\n${source.adapter ?? ''}`;
	for (let end = blockCharacters; end <= source.prompt.length; end += blockCharacters) {
		const block = source.prompt.slice(end - blockCharacters, end);
		previous = createHash('sha256').update(previous).update('\n').update(block).digest('hex').slice(0, hashCharacters);
		prefixes.push(previous);
	}

	return prefixes;
}
