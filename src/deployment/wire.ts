import {z} from 'zod';
import {serviceKind} from './types.js';

const maxPort = 65_535;
const maxOctet = 255;
const nameSchema = z.string().max(100).regex(/^[\w.\-]+$/v, 'letters, digits, dots, dashes and underscores, 1 to 100 of them');

/** Schema of an address: IPv4 address and port. */
export const addressSchema = z.string().refine(text => isAddress(text), 'an address as IP number:port, such as 10.0.0.7:8000');
const callSchema = z.string().regex(/^[A-Z]+ \/\S*$/v, 'a call as METHOD /path, such as POST /refunds');
/** A time in milliseconds, at most one day. */
const durationSchema = z.int().positive().max(86_400_000);

/** Schema of a language-model service. */
export const modelSchema = z.strictObject({
	kind: z.literal(serviceKind.model),
	depends_on: z.array(nameSchema).default([]),
	model: nameSchema,
	version: nameSchema,
	adapters: z.array(nameSchema).default([]),
	deadline_ms: durationSchema,
	first_token_ms: durationSchema.default(900),
	between_tokens_ms: durationSchema.default(54),
	floor_prefill: z.int().min(0).default(1),
	floor_decode: z.int().min(0).default(1),
});

/** Schema of an application service. */
export const applicationSchema = z.strictObject({
	kind: z.literal(serviceKind.application),
	depends_on: z.array(nameSchema).default([]),
	deadline_ms: durationSchema,
	non_repeatable: z.array(callSchema).default([]),
});

/** Schema of an upstream. */
export const upstreamSchema = z.strictObject({
	id: nameSchema,
	service: nameSchema,
	domain: nameSchema,
	address: addressSchema,
	fenced: z.boolean().default(true),
	pieces: z.int().min(0).default(0),
});

/** Schema of the section `deployment`. */
export const headSchema = z.strictObject({
	name: nameSchema,
	domains: z.array(nameSchema).min(1),
	goodput_weight: z.number().min(0).max(1).default(0.5),
});

/** Schema of the section `callers`: limits of each caller. */
export const callersSchema = z.strictObject({
	requests_per_second: z.number().positive().default(50),
	tokens_per_second: z.number().positive().default(100_000),
});

/** Schema of the whole configuration text. */
export const deploymentSchema = z.strictObject({
	deployment: headSchema,
	callers: callersSchema.default({requests_per_second: 50, tokens_per_second: 100_000}),
	services: z.record(nameSchema, z.discriminatedUnion('kind', [modelSchema, applicationSchema], {error: 'kind = "model" or "application"'})),
	upstreams: z.array(upstreamSchema).default([]),
});

/** The validated configuration text, with the key names of the text. */
export type RawDeployment = z.infer<typeof deploymentSchema>;

/** The fields of a service that are checked against other parts of the text. */
export type RawService = {
	readonly kind: string;
	readonly depends_on: readonly string[];
	readonly floor_prefill?: number;
	readonly floor_decode?: number;
	readonly model?: string;
};

/** Lists every key that may occur in a configuration text, to suggest one for a misspelled key. */
export function listKeys(): string[] {
	const schemas = [deploymentSchema, headSchema, callersSchema, modelSchema, applicationSchema, upstreamSchema];
	return [...new Set(schemas.flatMap(schema => Object.keys(schema.shape)))].toSorted();
}

function isAddress(text: string): boolean {
	const groups = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v.exec(text)?.groups;
	return groups !== undefined && Number(groups.port) >= 1 && Number(groups.port) <= maxPort
		&& groups.host!.split('.').every(part => Number(part) <= maxOctet);
}
