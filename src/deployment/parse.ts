import {parse} from 'smol-toml';
import {z} from 'zod';
import {InvalidTextError} from '../errors/index.js';
import {serviceKind} from './types.js';
import type {Deployment} from './types.js';

const modelSchema = z.strictObject({
	kind: z.literal(serviceKind.model),
	dependsOn: z.array(z.string()).default([]),
	model: z.string(),
	version: z.string(),
	adapters: z.array(z.string()).default([]),
	deadlineMs: z.int().positive(),
	firstTokenMs: z.int().positive().default(900),
	betweenTokensMs: z.int().positive().default(54),
	floorPrefill: z.int().min(0).default(1),
	floorDecode: z.int().min(0).default(1),
});

const applicationSchema = z.strictObject({
	kind: z.literal(serviceKind.application),
	dependsOn: z.array(z.string()).default([]),
	deadlineMs: z.int().positive(),
	nonRepeatable: z.array(z.string()).default([]),
});

const upstreamSchema = z.strictObject({
	id: z.string(),
	service: z.string(),
	domain: z.string(),
	address: z.string(),
	fenced: z.boolean().default(true),
	pieces: z.int().min(0).default(0),
});

const deploymentSchema = z.strictObject({
	deployment: z.strictObject({
		name: z.string(),
		domains: z.array(z.string()).min(1),
		goodputWeight: z.number().min(0).max(1).default(0.5),
	}),
	callers: z.strictObject({
		requestsPerSecond: z.number().positive().default(50),
		tokensPerSecond: z.number().positive().default(100_000),
	}).default({requestsPerSecond: 50, tokensPerSecond: 100_000}),
	services: z.record(z.string(), z.discriminatedUnion('kind', [modelSchema, applicationSchema])),
	upstreams: z.array(upstreamSchema).default([]),
});

type RawService = z.infer<typeof modelSchema> | z.infer<typeof applicationSchema>;

/** Reads and checks the operators' text. Throws `InvalidTextError` with every fault found. */
export function parseDeployment(text: string): Deployment {
	const result = deploymentSchema.safeParse(toCamelKeys(parse(text)));
	if (!result.success) {
		const problems = result.error.issues.map(issue => ({
			path: issue.path.join('.'), line: 0, found: '', allowed: issue.message,
		}));
		throw new InvalidTextError('the deployment text is not valid', {props: {problems}});
	}

	const raw = result.data;
	return {
		name: raw.deployment.name,
		domains: raw.deployment.domains,
		goodputWeight: raw.deployment.goodputWeight,
		callers: raw.callers,
		services: Object.entries(raw.services).map(([name, service]) => createService(name, service)),
		upstreams: raw.upstreams,
	};
}

/** Turns the text's `snake_case` keys into the program's names; names that operators choose stay as they are. */
function toCamelKeys(value: unknown, isNamed = false): unknown {
	if (Array.isArray(value)) {
		return value.map(item => toCamelKeys(item));
	}

	if (typeof value !== 'object' || value === null || value instanceof Date) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).map(([key, item]) => [
		isNamed ? key : key.replaceAll(/_([a-z])/gv, (_match, letter: string) => letter.toUpperCase()),
		toCamelKeys(item, !isNamed && key === 'services'),
	]));
}

function createService(name: string, raw: RawService): Deployment['services'][number] {
	if (raw.kind === serviceKind.application) {
		return {
			kind: raw.kind, name, dependsOn: raw.dependsOn, deadlineMs: raw.deadlineMs, nonRepeatable: raw.nonRepeatable,
		};
	}

	return {
		kind: raw.kind,
		name,
		dependsOn: raw.dependsOn,
		model: raw.model,
		version: raw.version,
		adapters: raw.adapters,
		deadlineMs: raw.deadlineMs,
		firstTokenMs: raw.firstTokenMs,
		betweenTokensMs: raw.betweenTokensMs,
		floor: {prefill: raw.floorPrefill, decode: raw.floorDecode},
	};
}
