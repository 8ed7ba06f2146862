import type {EngineTarget, LoadReport} from '../upstreams/index.js';
import type {VmState} from '../store/index.js';

/** States of an upstream; entries route new requests only to one that is `serving`. */
export const upstreamState = {
	serving: 'serving',
	/** Takes no new requests; those in progress run to their end. */
	closing: 'closing',
	/** Unavailable while it changes its role or loads a model. */
	away: 'away',
	/** Taken out of service by an operator. */
	withdrawn: 'withdrawn',
} as const;

/** See {@link upstreamState}. */
export type UpstreamState = (typeof upstreamState)[keyof typeof upstreamState];

/** What the authority of a failure domain publishes about one upstream. */
export type UpstreamFact = {
	readonly state: UpstreamState;
	/** Role, model, version and adapters that an engine is set up with; absent for an application. */
	readonly setup?: EngineTarget;
};

/** What an entry publishes about itself. */
export type MemberFact = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` for callers' HTTP requests. */
	readonly http: string;
	/** `host:port` for connections from other entries. */
	readonly peer: string;
	/** Identifies one start of the entry's process; higher with each start. */
	readonly incarnation: number;
	readonly state: VmState;
	/** Version of the configuration that this entry has in force. */
	readonly configuration: number;
	/**
	By upstream that is not serving: `version` of the upstream's fact that this entry has applied, and how many of this
	entry's requests are still `running` there.
	*/
	readonly closed: Readonly<Record<string, {readonly version: number; readonly running: number}>>;
};

/** The configuration in force: its TOML text and the hash of that text. */
export type ConfigurationFact = {readonly text: string; readonly hash: string};

/** Recent rate of the load offered to one service, whether it was admitted or not. */
export type DemandFact = {
	readonly requestsPerSecond: number;
	readonly promptTokensPerSecond: number;
	readonly outputTokensPerSecond: number;
};

/** Value type of each kind of fact. */
export type FactValues = {
	/** The key is the empty string, as there is only one. */
	readonly configuration: ConfigurationFact;
	/** The key is the upstream's id. */
	readonly upstream: UpstreamFact;
	/** The key is the upstream's id. */
	readonly load: LoadReport;
	/** The key is the name of the entry's VM. */
	readonly member: MemberFact;
	/** The key is `domain/service/vm`; the value is the load that the callers of one entry offered. */
	readonly demand: DemandFact;
};

/** Name of a kind of fact. */
export type FactKind = keyof FactValues;

/** A versioned value. Of two facts of the same kind and key, the one with the higher version is valid. */
export type Fact<Kind extends FactKind = FactKind> = {
	readonly kind: Kind;
	readonly key: string;
	readonly version: number;
	readonly value: FactValues[Kind];
};
