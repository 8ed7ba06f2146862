const headerPattern = /^\s*(?<open>\[\[?)(?<name>[^\[\]]+)\]\]?\s*(?:#.*)?$/v;
const keyPattern = /^\s*(?<key>[\w\-"'.\s]+?)\s*=/v;

/** Path to a value: key names, and list indexes from 0. */
export type KeyPath = ReadonlyArray<string | number>;

/**
Finds the line of a key in a TOML text, counted from 1. For an absent key, returns the line of the innermost table or key
on its path that is present, or 0 when none is. Skips the content of multi-line strings; the keys of an inline table are on
the line of the table.
*/
export function findLine(text: string, path: KeyPath): number {
	let best = {line: 0, depth: 0};
	let table: KeyPath = [];
	const listLengths = new Map<string, number>();
	let openQuote: string | undefined;
	for (const [index, line] of text.split('\n').entries()) {
		if (openQuote !== undefined) {
			openQuote = line.includes(openQuote) ? undefined : openQuote;
			continue;
		}

		const header = headerPattern.exec(line)?.groups;
		const key = header ? undefined : keyPattern.exec(line)?.groups?.key;
		if (header) {
			table = createTablePath(parseKeyNames(header.name!), header.open === '[[', listLengths);
		}

		openQuote = findUnclosedQuote(line);
		const currentPath = key === undefined ? table : [...table, ...parseKeyNames(key)];
		const depth = countCommonParts(currentPath, path);
		if ((header ?? key) !== undefined && depth === currentPath.length && depth > best.depth) {
			best = {line: index + 1, depth};
		}
	}

	return best.line;
}

/** Formats a key path for people, with list indexes from 1: `upstreams[2].address`. */
export function formatPath(path: KeyPath): string {
	return path.map((part, index) => typeof part === 'number' ? `[${part + 1}]` : `${index === 0 ? '' : '.'}${part}`).join('');
}

function createTablePath(names: readonly string[], isList: boolean, listLengths: Map<string, number>): KeyPath {
	if (!isList) {
		return names;
	}

	const name = names.join('.');
	const count = listLengths.get(name) ?? 0;
	listLengths.set(name, count + 1);
	return [...names, count];
}

function parseKeyNames(text: string): string[] {
	return [...text.matchAll(/"(?<double>[^"]*)"|'(?<single>[^']*)'|(?<bare>[\w\-]+)/gv)]
		.map(({groups}) => groups?.double ?? groups?.single ?? groups?.bare ?? '');
}

function findUnclosedQuote(line: string): string | undefined {
	return ['"""', '\'\'\''].find(quote => line.split(quote).length % 2 === 0);
}

function countCommonParts(currentPath: KeyPath, path: KeyPath): number {
	const end = currentPath.findIndex((part, index) => part !== path[index]);
	return end === -1 ? currentPath.length : end;
}
