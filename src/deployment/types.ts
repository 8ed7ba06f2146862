/** Kinds of services: served by model engines, or by instances of an application. */
export const serviceKind = {model: 'model', application: 'application'} as const;

/** See {@link serviceKind}. */
export type ServiceKind = (typeof serviceKind)[keyof typeof serviceKind];

/** Roles of engines. An engine of any role can serve whole requests; roles differ in the speed of prefill and decode. */
export const engineRole = {prefill: 'prefill', decode: 'decode', mixed: 'mixed'} as const;

/** See {@link engineRole}. */
export type EngineRole = (typeof engineRole)[keyof typeof engineRole];

/** A language-model service. */
export type ModelService = {
	readonly kind: typeof serviceKind.model;
	readonly name: string;
	/** Names of the services that this one needs; each must be in the same configuration. */
	readonly dependsOn: readonly string[];
	/** Value of `model` in callers' requests for this service. */
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	/** Time for a whole answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Target for the time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Target for the time between two tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Minimum number of engines able to prefill and to decode, which no role change may violate. */
	readonly floor: {readonly prefill: number; readonly decode: number};
};

/** A plain application service. */
export type ApplicationService = {
	readonly kind: typeof serviceKind.application;
	readonly name: string;
	readonly dependsOn: readonly string[];
	/** Time for a whole answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Calls that must not be sent twice, as `METHOD /path`; every other call may be repeated. */
	readonly nonRepeatable: readonly string[];
};

/** A service of the deployment. */
export type Service = ModelService | ApplicationService;

/** An upstream: a model engine or an instance of an application service. */
export type Upstream = {
	readonly id: string;
	readonly service: string;
	readonly domain: string;
	/** `host:port`, where the host is an IPv4 address. */
	readonly address: string;
	/** Whether the engine refuses orders with an outdated fence. */
	readonly fenced: boolean;
	/** KV cache capacity of a model engine, in pieces of 1,000 tokens; 0 for an instance of an application service. */
	readonly pieces: number;
};

/** Limits of one caller, across all entries. */
export type CallerLimits = {
	readonly requestsPerSecond: number;
	/** Prompt and output tokens together. */
	readonly tokensPerSecond: number;
};

/** A validated configuration: the operators' description of a deployment. */
export type Deployment = {
	readonly name: string;
	/** Trade-off in planning engines' roles: 0 for the fewest role changes, 1 for the highest goodput. */
	readonly goodputWeight: number;
	readonly domains: readonly string[];
	readonly callers: CallerLimits;
	readonly services: readonly Service[];
	readonly upstreams: readonly Upstream[];
};
