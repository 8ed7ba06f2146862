import type {Fact, FactKind} from './facts.js';

/** The kinds of messages between entries. */
export const messageKind = {
	hello: 'hello',
	heartbeat: 'beat',
	facts: 'facts',
	digest: 'digest',
	textRequest: 'need',
	text: 'text',
} as const;

/** First message on a connection, from both ends. */
export type HelloMessage = {
	readonly kind: typeof messageKind.hello;
	readonly vm: string;
	readonly domain: string;
};

/** Heartbeat of a connection; it also carries what the spread tree and anti-entropy need. */
export type HeartbeatMessage = {
	readonly kind: typeof messageKind.heartbeat;
	/** VM at the root of the failure domain's spread tree, as the sender knows it. */
	readonly root: string;
	/** The root's count, which rises once a beat. */
	readonly sequence: number;
	/** Links between the sender and the root. */
	readonly hops: number;
	/** Whether the receiver is the sender's parent in the tree. */
	readonly isChild: boolean;
	/** Hash of the sender's lasting facts. */
	readonly check: number;
};

/** Facts that are new to the sender. */
export type FactsMessage = {
	readonly kind: typeof messageKind.facts;
	readonly facts: readonly WireFact[];
};

/** A fact on its way; of a configuration only the hash travels, the text on request. */
export type WireFact = Omit<Fact, 'value'> & {readonly value: unknown};

/** Kind, key and version of every fact the sender knows, but for loads. */
export type DigestMessage = {
	readonly kind: typeof messageKind.digest;
	readonly versions: ReadonlyArray<{readonly kind: FactKind; readonly key: string; readonly version: number}>;
	/** Whether the receiver sends its own digest back. */
	readonly isAnswerWanted: boolean;
};

/** Asks for the text of a configuration. */
export type TextRequestMessage = {
	readonly kind: typeof messageKind.textRequest;
	readonly version: number;
};

/** Text of a configuration, compressed on the wire. */
export type TextMessage = {
	readonly kind: typeof messageKind.text;
	readonly version: number;
	readonly hash: string;
	readonly text: string;
};

/** A message between entries. */
export type PeerMessage = HelloMessage | HeartbeatMessage | FactsMessage | DigestMessage | TextRequestMessage | TextMessage;
