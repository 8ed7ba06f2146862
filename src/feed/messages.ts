import type {Fact, FactKind} from './facts.js';

/** Kinds of messages between entries, with their names on the wire. */
export const messageKind = {
	hello: 'hello',
	heartbeat: 'beat',
	facts: 'facts',
	digest: 'digest',
	textRequest: 'need',
	text: 'text',
} as const;

/** First message on a connection, sent by both ends. */
export type HelloMessage = {
	readonly kind: typeof messageKind.hello;
	readonly vm: string;
	readonly domain: string;
};

/** Heartbeat of a connection; it also carries the sender's position in the broadcast tree and a checksum for anti-entropy. */
export type HeartbeatMessage = {
	readonly kind: typeof messageKind.heartbeat;
	/** VM that the sender takes for the root of its failure domain's broadcast tree. */
	readonly root: string;
	/** Latest known sequence number of the root, which the root raises once per heartbeat interval. */
	readonly sequence: number;
	/** Number of links between the sender and the root. */
	readonly hops: number;
	/** Whether the sender is a child of the receiver in the tree. */
	readonly isChild: boolean;
	/** Checksum of the sender's configuration and upstream facts; see `Gossip.computeChecksum`. */
	readonly check: number;
};

/** Facts that the sender has recently learned or that the receiver's digest lacked. */
export type FactsMessage = {
	readonly kind: typeof messageKind.facts;
	readonly facts: readonly WireFact[];
};

/** A fact as it is sent. A configuration is sent with its hash only; the receiver requests the text when it needs it. */
export type WireFact = Omit<Fact, 'value'> & {readonly value: unknown};

/** Kind, key and version of every fact that the sender knows, except loads. */
export type DigestMessage = {
	readonly kind: typeof messageKind.digest;
	readonly versions: ReadonlyArray<{readonly kind: FactKind; readonly key: string; readonly version: number}>;
	/** Whether the receiver is to reply with its own digest. */
	readonly isAnswerWanted: boolean;
};

/** Requests the text of a configuration. */
export type TextRequestMessage = {
	readonly kind: typeof messageKind.textRequest;
	readonly version: number;
};

/** Text of a configuration; it is compressed on the wire. */
export type TextMessage = {
	readonly kind: typeof messageKind.text;
	readonly version: number;
	readonly hash: string;
	readonly text: string;
};

/** A message between entries. */
export type PeerMessage = HelloMessage | HeartbeatMessage | FactsMessage | DigestMessage | TextRequestMessage | TextMessage;
