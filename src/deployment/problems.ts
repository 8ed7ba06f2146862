import type {z} from 'zod';
import type {ValidationProblem} from '../errors/index.js';
import {findLine, formatPath} from './lines.js';
import type {KeyPath} from './lines.js';

/** Maximum length of a value shown in a problem, in characters; the rest is cut off. */
const maxFoundLength = 80;
/** Maximum edit distance from an unknown key to a known one that is suggested for it. */
const maxEditDistance = 3;
/** Keys whose values are never shown in a problem. */
const secretKeys: ReadonlySet<string | number | undefined> = new Set(['secret']);

/** Collects the problems of one text, each with its line. */
export class ProblemList {
	readonly problems: ValidationProblem[] = [];
	readonly #text: string;
	readonly #rawValue: unknown;
	readonly #knownKeys: readonly string[];

	/** `raw` is the parsed TOML; `names` are the known keys, from which one is suggested for an unknown key. */
	constructor(text: string, raw: unknown, names: readonly string[]) {
		this.#text = text;
		this.#rawValue = raw;
		this.#knownKeys = names;
	}

	/** Adds a problem with the value at `path`, saying which values are allowed. */
	addProblem(path: KeyPath, allowed: string): void {
		this.problems.push({
			path: formatPath(path), line: findLine(this.#text, path), found: secretKeys.has(path.at(-1)) ? 'a secret' : formatFound(findValue(this.#rawValue, path)), allowed,
		});
	}

	/** Adds the issues that a schema found. */
	addSchemaIssues(issues: readonly z.core.$ZodIssue[]): void {
		for (const issue of issues) {
			const path = issue.path.map(part => typeof part === 'number' ? part : String(part));
			if (issue.code === 'unrecognized_keys') {
				for (const key of issue.keys) {
					this.addProblem([...path, key], formatUnknownKey(key, this.#knownKeys));
				}
			} else {
				this.addProblem(path, formatAllowed(issue));
			}
		}
	}
}

/** Formats problems for people, one per line: file, line, key path, value found and values allowed. */
export function formatProblems(file: string, problems: readonly ValidationProblem[]): string {
	return problems.map(({line, path, found, allowed}) => `${file}:${line}: ${path}: found ${found}; allowed: ${allowed}`).join('\n');
}

function formatAllowed(issue: z.core.$ZodIssue): string {
	if (issue.code === 'too_small') {
		return `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}`;
	}

	if (issue.code === 'too_big') {
		return `${issue.inclusive === false ? 'less than' : 'at most'} ${issue.maximum}`;
	}

	return issue.code === 'invalid_type' ? `a value of type ${issue.expected}` : issue.message;
}

function formatUnknownKey(key: string, names: readonly string[]): string {
	const [nearest] = names.map(name => ({name, distance: computeEditDistance(key, name)})).toSorted((left, right) => left.distance - right.distance);
	return nearest && nearest.distance <= maxEditDistance ? `no such key; did you mean ${nearest.name}?` : `no such key; known here or elsewhere: ${names.join(', ')}`;
}

function computeEditDistance(left: string, right: string): number {
	let row = Array.from({length: right.length + 1}, (_, index) => index);
	for (const [index, letter] of [...left].entries()) {
		const next = [index + 1];
		for (const [column, other] of [...right].entries()) {
			next.push(Math.min(next[column]! + 1, row[column + 1]! + 1, row[column]! + (letter === other ? 0 : 1)));
		}

		row = next;
	}

	return row.at(-1)!;
}

function findValue(raw: unknown, path: KeyPath): unknown {
	let value = raw;
	for (const part of path) {
		value = typeof value === 'object' && value !== null ? (value as Record<string | number, unknown>)[part] : undefined;
	}

	return value;
}

function formatFound(value: unknown): string {
	const text = value === undefined ? 'nothing' : JSON.stringify(value, (_key, item: unknown) => typeof item === 'bigint' ? String(item) : item);
	return text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text;
}
