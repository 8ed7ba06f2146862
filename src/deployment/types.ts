/** What kind of upstream a service runs on. */
export const serviceKind = {model: 'model', application: 'application'} as const;

/** See {@link serviceKind}. */
export type ServiceKind = (typeof serviceKind)[keyof typeof serviceKind];

/** What an engine is set up for; every role serves whole requests, at different speeds. */
export const engineRole = {prefill: 'prefill', decode: 'decode', mixed: 'mixed'} as const;

/** See {@link engineRole}. */
export type EngineRole = (typeof engineRole)[keyof typeof engineRole];

/** A language-model service. */
export type ModelService = {
	readonly kind: typeof serviceKind.model;
	readonly name: string;
	/** Names of the services that must be in the text for this one to work. */
	readonly dependsOn: readonly string[];
	/** Name that callers give as `model`. */
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	/** Time for a whole answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Time between two tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Engines that must stay able to prefill and to decode, whatever the plan. */
	readonly floor: {readonly prefill: number; readonly decode: number};
};

/** A plain application service. */
export type ApplicationService = {
	readonly kind: typeof serviceKind.application;
	readonly name: string;
	readonly dependsOn: readonly string[];
	/** Time for a whole answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Calls that may not be repeated, as `METHOD /path`; every other call is repeatable. */
	readonly nonRepeatable: readonly string[];
};

/** A service of the deployment. */
export type Service = ModelService | ApplicationService;

/** An upstream: a model engine or an instance of an application service. */
export type Upstream = {
	readonly id: string;
	readonly service: string;
	readonly domain: string;
	/** `host:port`, host by IP number. */
	readonly address: string;
	/** Whether the engine refuses orders with an old fencing number. */
	readonly fenced: boolean;
	/** Capacity of a model engine in pieces of a thousand tokens; 0 for an application service. */
	readonly pieces: number;
};

/** What one caller may use, across all entries. */
export type CallerLimits = {
	/** Requests a second. */
	readonly requestsPerSecond: number;
	/** Tokens a second, prompt and output together. */
	readonly tokensPerSecond: number;
};

/** The operators' text after its checks: the standing truth of a deployment. */
export type Deployment = {
	readonly name: string;
	/** 0 plans for the fewest role changes, 1 for the highest goodput. */
	readonly goodputWeight: number;
	readonly domains: readonly string[];
	readonly callers: CallerLimits;
	readonly services: readonly Service[];
	readonly upstreams: readonly Upstream[];
};
