import type {Credential, CustomerTable} from '../customers/index.js';
import type {ScalingSpec} from '../scaling/index.js';

/** Kind of a request; it decides whether the request may be sent again after an engine may have run it. */
export const requestKind = {idempotent: 'idempotent', unrepeatable: 'unrepeatable', stream: 'stream'} as const;

/** See {@link requestKind}. */
export type RequestKind = (typeof requestKind)[keyof typeof requestKind];

/** A service's share of the requests of a route. */
export type ServiceShare = {
	readonly service: string;
	/** Weight relative to the other shares of the route. */
	readonly weight: number;
};

/** Which services serve the requests of a host below a path, and what their callers expect. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	readonly shares: readonly ServiceShare[];
	/** Longest time from a request's arrival to the end of its answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which the answer, or the first event of a stream, is on time, in milliseconds. */
	readonly targetMs: number;
	/** Time without a first byte after which the caller of a stream leaves, in milliseconds; equals `timeoutMs` for other requests. */
	readonly firstByteTimeoutMs: number;
	/** Longest time between two events of a stream that is on time, in milliseconds; `undefined` where any is. */
	readonly targetGapMs?: number;
	/** Number of engines that one request may run on. */
	readonly maxRuns: number;
	/** Priority of the requests; 0 is the most urgent. */
	readonly priority: number;
	/** Whether a broken stream may be resumed at another engine after the last event that was sent. */
	readonly isResumable: boolean;
	/** Whether its requests need no API key. Default: they do where the configuration lists customers. */
	readonly isPublic?: boolean;
};

/** Capacity of each engine of a model service. */
export type ModelEngineSpec = {
	/** Requests that an engine processes in one batch. */
	readonly slots: number;
	/** Tokens of KV cache that an engine's memory holds. */
	readonly kvCapacityTokens: number;
	/** Time to transfer the KV cache of one token between two engines of a failure domain, in milliseconds. */
	readonly kvTransferMsPerToken: number;
};

/** One service of the configuration. */
export type ServiceSpec = {
	readonly name: string;
	/** Connections that an engine accepts from all entries together. */
	readonly maxConnections: number;
	/** Set where the engines generate streams from prompts. */
	readonly model: ModelEngineSpec | undefined;
	/** Set where the number of engines is ordered by the load. */
	readonly scaling?: ScalingSpec;
};

/** Limits on the size of a caller's request, the time for its header, and the time that its connection may be idle. */
export type IngressLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A complete configuration; a higher version replaces a lower one. */
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceSpec>;
	readonly limits: IngressLimits;
	/** The customers and their API keys; `undefined` where requests need none. */
	readonly customers?: CustomerTable;
};

/** One block of a prompt; requests whose prompts share a block give it the same id. */
export type PrefixBlock = {
	readonly id: string;
	readonly tokens: number;
};

/** Description of a prompt in the request's header. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Blocks in the order of the prompt; the last one belongs to this request or its session alone. */
	readonly prefixBlocks: readonly PrefixBlock[];
};

/** Header fields in the order in which they arrived; names keep their case. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** A caller's request; method, path and body reach the engine unchanged. */
export type GatewayRequest = {
	readonly id: string;
	readonly method: string;
	readonly host: string;
	readonly path: string;
	/** Header fields without hop-by-hop fields and without those that only this system sets. */
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Monotonic time at which the request was read, in milliseconds. */
	readonly arrivedAt: number;
	/** How long the caller waits from `arrivedAt`, in milliseconds; `undefined` if the request does not say. */
	readonly callerDeadlineMs: number | undefined;
	readonly prompt: Prompt | undefined;
	/** Id of the last event that the caller has received, when it resumes a stream. */
	readonly resumeAfter: string | undefined;
	/** The caller's API key, with its customer; `undefined` where requests need none. */
	readonly credential?: Credential;
};
