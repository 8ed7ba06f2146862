/** What a request's kind allows: whether an engine may be sent it again. */
export const requestKind = {idempotent: 'idempotent', unrepeatable: 'unrepeatable', stream: 'stream'} as const;

/** See {@link requestKind}. */
export type RequestKind = (typeof requestKind)[keyof typeof requestKind];

/** A service's part of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the other shares of the route. */
	readonly weight: number;
};

/** Where requests of a host below a path go, and what their callers expect. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	readonly shares: readonly ServiceShare[];
	/** Longest that a request may be kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
	readonly targetMs: number;
	/** Time without an event after which callers of a stream leave, in milliseconds; for other requests as long as they wait. */
	readonly firstByteTimeoutMs: number;
	/** Number of engines that one request may run on. */
	readonly maxRuns: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** A broken stream may go on at another engine after the last event that was sent. */
	readonly isResumable: boolean;
};

/** Model engines of a service, as the configuration describes them. */
export type ModelEngineSpec = {
	/** Requests that an engine batches. */
	readonly slots: number;
	/** Tokens whose KV cache an engine's memory holds. */
	readonly kvCapacityTokens: number;
};

/** One service of the configuration. */
export type ServiceSpec = {
	readonly name: string;
	/** Connections that an engine accepts from all entries together. */
	readonly maxConnections: number;
	/** Set where the engines generate streams from prompts. */
	readonly model: ModelEngineSpec | undefined;
};

/** Bounds on what a caller may send and how long a connection may rest. */
export type ConnectionLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A whole configuration; a higher version replaces a lower one. */
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceSpec>;
	readonly limits: ConnectionLimits;
};

/** One part of a prompt; requests that share a part name it alike. */
export type PrefixBlock = {
	readonly id: string;
	readonly tokens: number;
};

/** What a request tells of its prompt. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** In the prompt's order; the last part is the request's or its session's own. */
	readonly prefixBlocks: readonly PrefixBlock[];
};

/** Header fields in the order in which they came; names keep their case. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** A caller's request; method, path and body reach the engine unchanged. */
export type GatewayRequest = {
	readonly id: string;
	readonly method: string;
	readonly host: string;
	readonly path: string;
	/** Without fields that concern one connection and without those that only this system sets. */
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Monotonic time at which it was read, in milliseconds. */
	readonly arrivedAt: number;
	/** How long the caller waits from then on, in milliseconds; `undefined` when it does not say. */
	readonly callerDeadlineMs: number | undefined;
	readonly prompt: Prompt | undefined;
	/** Id of the last event that the caller has, when it resumes a stream. */
	readonly resumeAfter: string | undefined;
};
