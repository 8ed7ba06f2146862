import {Buffer} from 'node:buffer';
import {parse, TomlError} from 'smol-toml';
import {InvalidTextError} from '../errors/index.js';
import type {ValidationProblem} from '../errors/index.js';
import {checkReferences} from './checks.js';
import {formatProblems, ProblemList} from './problems.js';
import {deploymentSchema, listKeys} from './wire.js';
import type {RawDeployment} from './wire.js';
import {serviceKind} from './types.js';
import type {Deployment} from './types.js';

/** Maximum size of a text, in bytes: stored as JSON, where quotes and line ends take twice the space, it stays under a megabyte. */
export const maxTextBytes = 480_000;

/** Parses and validates a configuration text; `file` names it in errors. Throws `InvalidTextError` with every problem found and its line. */
export function parseDeployment(text: string, file = 'text'): Deployment {
	const raw = parseToml(text, file);
	const problemList = new ProblemList(text, raw, listKeys());
	const result = deploymentSchema.safeParse(raw);
	if (!result.success) {
		problemList.addSchemaIssues(result.error.issues);
	}

	checkReferences(raw, problemList);
	if (!result.success || problemList.problems.length > 0) {
		throw createInvalidTextError(problemList.problems, file);
	}

	return createDeployment(result.data);
}

/** Parses TOML. Throws `InvalidTextError` with the line when it is malformed, and when it is larger than {@link maxTextBytes}. */
export function parseToml(text: string, file: string): unknown {
	const bytes = Buffer.byteLength(text);
	if (bytes > maxTextBytes) {
		throw createInvalidTextError([{
			path: '', line: 0, found: `${bytes} bytes`, allowed: `at most ${maxTextBytes} bytes`,
		}], file);
	}

	try {
		return parse(text);
	} catch (error) {
		const [message] = error instanceof Error ? error.message.split('\n') : ['not TOML'];
		throw createInvalidTextError([{
			path: '', line: error instanceof TomlError ? error.line : 0, found: 'a text that is not TOML', allowed: message ?? '',
		}], file, error);
	}
}

/** Creates the error for an invalid text, with its problems sorted by line. */
export function createInvalidTextError(problems: readonly ValidationProblem[], file: string, cause?: unknown): InstanceType<typeof InvalidTextError> {
	const sorted = problems.toSorted((left, right) => left.line - right.line);
	return new InvalidTextError(`${file} is not valid:\n${formatProblems(file, sorted)}`, {props: {problems: sorted}, cause});
}

function createDeployment(raw: RawDeployment): Deployment {
	return {
		name: raw.deployment.name,
		domains: raw.deployment.domains,
		goodputWeight: raw.deployment.goodput_weight,
		callers: {requestsPerSecond: raw.callers.requests_per_second, tokensPerSecond: raw.callers.tokens_per_second},
		services: Object.entries(raw.services).map(([name, service]) => createService(name, service)),
		upstreams: raw.upstreams,
	};
}

function createService(name: string, raw: RawDeployment['services'][string]): Deployment['services'][number] {
	if (raw.kind === serviceKind.application) {
		return {
			kind: raw.kind, name, dependsOn: raw.depends_on, deadlineMs: raw.deadline_ms, nonRepeatable: raw.non_repeatable,
		};
	}

	return {
		kind: raw.kind,
		name,
		dependsOn: raw.depends_on,
		model: raw.model,
		version: raw.version,
		adapters: raw.adapters,
		deadlineMs: raw.deadline_ms,
		firstTokenMs: raw.first_token_ms,
		betweenTokensMs: raw.between_tokens_ms,
		floor: {prefill: raw.floor_prefill, decode: raw.floor_decode},
	};
}
