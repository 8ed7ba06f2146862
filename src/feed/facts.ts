import type {EngineTarget, LoadReport} from '../upstreams/index.js';
import type {VmState} from '../store/index.js';

/** Whether entries may choose an upstream. */
export const upstreamState = {
	serving: 'serving',
	/** No new work; requests in progress end. */
	closing: 'closing',
	/** Changing its role or loading. */
	away: 'away',
	/** Taken out by an operator. */
	withdrawn: 'withdrawn',
} as const;

/** See {@link upstreamState}. */
export type UpstreamState = (typeof upstreamState)[keyof typeof upstreamState];

/** What the authority of a failure domain says of one upstream. */
export type UpstreamFact = {
	readonly state: UpstreamState;
	/** What an engine is set up as; absent for a service. */
	readonly setup?: EngineTarget;
};

/** What an entry says of itself. */
export type MemberFact = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	/** Rises with each start of the entry's process. */
	readonly incarnation: number;
	readonly state: VmState;
	/** Version of the configuration in force here. */
	readonly configuration: number;
	/** For each upstream not serving: the version of its fact that this entry obeys and its requests still running there. */
	readonly closed: Readonly<Record<string, {readonly version: number; readonly running: number}>>;
};

/** The configuration in force. */
export type ConfigurationFact = {readonly text: string; readonly hash: string};

/** Work offered to one service, as one failure domain saw it lately. */
export type DemandFact = {
	readonly requestsPerSecond: number;
	readonly promptTokensPerSecond: number;
	readonly outputTokensPerSecond: number;
};

/** The kinds of facts and the values they carry. */
export type FactValues = {
	/** Key `configuration`. */
	readonly configuration: ConfigurationFact;
	/** Key is the upstream's id. */
	readonly upstream: UpstreamFact;
	/** Key is the upstream's id. */
	readonly load: LoadReport;
	/** Key is the VM. */
	readonly member: MemberFact;
	/** Key is `domain/service/vm`: what one entry was asked for. */
	readonly demand: DemandFact;
};

/** Name of a kind of fact. */
export type FactKind = keyof FactValues;

/** A fact: its version only rises, and of two the higher version holds. */
export type Fact<Kind extends FactKind = FactKind> = {
	readonly kind: Kind;
	readonly key: string;
	readonly version: number;
	readonly value: FactValues[Kind];
};
