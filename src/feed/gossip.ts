import type {
	ConfigurationFact, Fact, FactKind, MemberFact,
} from './facts.js';
import {messageKind} from './messages.js';
import type {
	HeartbeatMessage, DigestMessage, FactsMessage, HelloMessage, PeerMessage, TextMessage, WireFact,
} from './messages.js';
import {isSignificantUpdate, Peer} from './peer.js';
import {hashText} from './rendezvous.js';
import type {FactTable} from './table.js';
import {BroadcastTree} from './tree.js';

/** Time between two heartbeats on a connection, in milliseconds. */
export const heartbeatIntervalMs = 1000;
/** A connection without any message for this long is taken for silent, in milliseconds. */
export const silenceTimeoutMs = 3500;
/** Shortest time between two digests on a connection, in milliseconds. */
const minDigestIntervalMs = 2000;
/** How long lasting facts may differ before a digest goes out: facts under way need a moment. */
const digestDelayMs = 1500;
/** Shortest time between two requests for the same text on one connection, in milliseconds. */
const textRequestTimeoutMs = 1000;
const checksumModulus = 2 ** 32;
/** Kinds whose loss no later fact repairs. */
const checksumKinds: readonly FactKind[] = ['configuration', 'upstream'];
const digestKinds: readonly FactKind[] = ['configuration', 'upstream', 'member', 'demand'];

/** What the feed decides with. */
export type GossipOptions = {
	readonly vm: string;
	readonly domain: string;
	readonly facts: FactTable;
	/** Must be higher than at an earlier start of the same VM. */
	readonly sequence: number;
	/** Hands a message to a connection. */
	readonly send: (linkId: string, message: PeerMessage) => void;
	/** Ends a connection that can't keep up or breaks the protocol. */
	readonly close: (linkId: string) => void;
	/** Checks a configuration's text against its hash. */
	readonly isHashValid: (text: string, hash: string) => boolean;
	/** Told of each message dropped, with its kind, and of each text asked for. */
	readonly onCount: (label: string) => void;
	/** Taken out only to see the matrix fail: anti-entropy by digests. */
	readonly hasAntiEntropy?: boolean;
};

/**
Decides which facts go to which neighbours; does no I/O and reads no clock. Inside a failure domain facts travel over
the links of a {@link BroadcastTree}; links to other failure domains carry every kind but loads, members rarely. Each
beat compares a hash of the lasting facts, so that whatever was lost is found on every link and repaired by digests.
*/
export class Gossip {
	readonly tree: BroadcastTree;
	readonly #options: GossipOptions;
	readonly #peers = new Map<string, Peer>();
	readonly #textRequests = new Map<string, {readonly version: number; readonly requestedAt: number}>();
	#sourceLinkId: string | undefined;
	#advancedAt = Number.NEGATIVE_INFINITY;

	constructor(options: GossipOptions) {
		this.#options = options;
		this.tree = new BroadcastTree(options.vm, options.domain, options.sequence);
		options.facts.subscribe((fact, previous) => {
			this.#enqueueFact(fact, previous);
		});
	}

	/** Lists the VMs at the other ends. */
	listConnectedVms(): string[] {
		return [...this.#peers.values()].flatMap(peer => peer.vm ?? []);
	}

	/** Counts the connections. */
	countLinks(): number {
		return this.#peers.size;
	}

	/** Takes a connection in and says hello. */
	addLink(linkId: string, now: number): void {
		this.#peers.set(linkId, new Peer(linkId, now));
		this.#options.send(linkId, {kind: messageKind.hello, vm: this.#options.vm, domain: this.#options.domain});
	}

	/** Forgets a closed connection. */
	removeLink(linkId: string, now: number): void {
		this.#peers.delete(linkId);
		this.#textRequests.delete(linkId);
		this.tree.onLinkClosed(linkId, now);
	}

	/** Takes in a message. */
	onMessage(linkId: string, message: PeerMessage, now: number): void {
		const peer = this.#peers.get(linkId);
		if (!peer) {
			return;
		}

		peer.lastReceivedAt = now;
		if (message.kind !== messageKind.hello && peer.vm === undefined) {
			this.#options.onCount('before_hello');
			return;
		}

		switch (message.kind) {
			case messageKind.hello: {
				this.#onHello(peer, message, now);
				break;
			}

			case messageKind.heartbeat: {
				this.#onHeartbeat(peer, message, now);
				break;
			}

			case messageKind.facts: {
				this.#onFacts(peer, message, now);
				break;
			}

			case messageKind.digest: {
				this.#onDigest(peer, message, now);
				break;
			}

			case messageKind.textRequest: {
				this.#sendText(linkId);
				break;
			}

			case messageKind.text: {
				this.#onText(linkId, message);
				break;
			}
		}
	}

	/** Sends the beats that are due; called several times a second. */
	sendHeartbeats(now: number): void {
		if (now - this.#advancedAt >= heartbeatIntervalMs - 1) {
			this.#advancedAt = now;
			this.tree.advance(now);
		}

		const checksum = this.computeChecksum();
		for (const peer of this.#peers.values()) {
			if (peer.vm !== undefined && now - peer.lastHeartbeatAt >= heartbeatIntervalMs - 1) {
				this.#sendHeartbeat(peer, checksum, now);
			}
		}
	}

	/** Sends the facts that wait: urgent ones only, or all. */
	sendFacts(isUrgentOnly: boolean): void {
		for (const peer of this.#peers.values()) {
			if (isUrgentOnly && !peer.hasUrgentFacts) {
				continue;
			}

			const facts = peer.takePendingFacts();
			if (facts.length > 0) {
				this.#options.send(peer.linkId, {kind: messageKind.facts, facts: facts.map(fact => toWireFact(fact))});
			}
		}
	}

	/** Lists the connections that have been silent for too long. */
	listSilentLinks(now: number): string[] {
		return [...this.#peers.values()].filter(peer => now - peer.lastReceivedAt > silenceTimeoutMs).map(peer => peer.linkId);
	}

	/** Computes the hash of the lasting facts; equal tables have equal hashes. */
	computeChecksum(): number {
		let checksum = 0;
		for (const kind of checksumKinds) {
			for (const {key, version} of this.#options.facts.list(kind)) {
				checksum = (checksum + hashText(`${kind}/${key}/${version}`)) % checksumModulus;
			}
		}

		return checksum;
	}

	#onHello(peer: Peer, message: HelloMessage, now: number): void {
		peer.vm = message.vm;
		peer.isSameDomain = message.domain === this.#options.domain;
		this.#sendHeartbeat(peer, this.computeChecksum(), now);
		this.#sendDigest(peer, true, now);
	}

	#onHeartbeat(peer: Peer, message: HeartbeatMessage, now: number): void {
		if (peer.isSameDomain) {
			const {parentLinkId} = this.tree;
			const {root} = this.tree.position;
			this.tree.onAdvertisement(peer.linkId, message, now);
			if (parentLinkId !== this.tree.parentLinkId || root !== this.tree.position.root) {
				this.#sendTreeHeartbeats(now);
			}
		}

		this.#compareChecksum(peer, message.check, now);
	}

	#compareChecksum(peer: Peer, checksum: number, now: number): void {
		if (checksum === this.computeChecksum()) {
			peer.differsSince = undefined;
			return;
		}

		peer.differsSince ??= now;
		const isDue = now - peer.differsSince >= digestDelayMs && now - peer.lastDigestAt >= minDigestIntervalMs;
		if (isDue && this.#options.hasAntiEntropy !== false) {
			this.#sendDigest(peer, true, now);
		}
	}

	#onFacts(peer: Peer, message: FactsMessage, now: number): void {
		for (const wireFact of message.facts) {
			peer.removeKnownFact(wireFact.kind, wireFact.key, wireFact.version);
			const previous = this.#options.facts.get(wireFact.kind, wireFact.key);
			if (wireFact.kind === 'configuration') {
				this.#requestText(peer.linkId, wireFact.version, now);
			} else if (peer.isSameDomain || isSignificantUpdate(wireFact as Fact, previous)) {
				this.#mergeFact(peer.linkId, wireFact as Fact);
			}
		}
	}

	#onDigest(peer: Peer, message: DigestMessage, now: number): void {
		const remoteVersions = new Map(message.versions.map(({kind, key, version}) => [`${kind}/${key}`, version]));
		const newerFacts = digestKinds.flatMap(kind => this.#options.facts.list(kind) as Fact[])
			.filter(fact => fact.version > (remoteVersions.get(`${fact.kind}/${fact.key}`) ?? -1));
		if (newerFacts.length > 0) {
			this.#options.send(peer.linkId, {kind: messageKind.facts, facts: newerFacts.map(fact => toWireFact(fact))});
		}

		if (message.isAnswerWanted) {
			this.#sendDigest(peer, false, now);
		}
	}

	#onText(linkId: string, {version, hash, text}: TextMessage): void {
		if (!this.#options.isHashValid(text, hash)) {
			this.#options.onCount('bad_text');
			this.#options.close(linkId);
			return;
		}

		this.#mergeFact(linkId, {
			kind: 'configuration', key: '', version, value: {text, hash},
		});
	}

	#mergeFact(linkId: string, fact: Fact): void {
		this.#sourceLinkId = linkId;
		const isNew = this.#options.facts.merge(fact);
		this.#sourceLinkId = undefined;
		if (!isNew) {
			this.#options.onCount('known_fact');
		}
	}

	#enqueueFact(fact: Fact, previous: Fact | undefined): void {
		const isUnchanged = fact.kind !== 'member' || isSameMember(fact.value as MemberFact, previous?.value as MemberFact | undefined);
		for (const peer of this.#peers.values()) {
			const isRecipient = peer.vm !== undefined && peer.linkId !== this.#sourceLinkId && (!peer.isSameDomain || this.tree.isTreeLink(peer.linkId));
			if (isRecipient && !peer.enqueueFact(fact, isUnchanged)) {
				this.#options.onCount('queue_full');
				this.#options.close(peer.linkId);
			}
		}
	}

	#requestText(linkId: string, version: number, now: number): void {
		if (version <= (this.#options.facts.get('configuration', '')?.version ?? -1)) {
			return;
		}

		// One request at a time for a text, over whichever link; another one when the first has had no answer.
		for (const textRequest of this.#textRequests.values()) {
			if (textRequest.version >= version && now - textRequest.requestedAt < textRequestTimeoutMs) {
				return;
			}
		}

		this.#textRequests.set(linkId, {version, requestedAt: now});
		this.#options.onCount('text_asked');
		this.#options.send(linkId, {kind: messageKind.textRequest, version});
	}

	#sendText(linkId: string): void {
		const fact = this.#options.facts.get('configuration', '');
		if (fact) {
			this.#options.send(linkId, {kind: messageKind.text, version: fact.version, ...fact.value});
		}
	}

	#sendDigest(peer: Peer, isAnswerWanted: boolean, now: number): void {
		peer.lastDigestAt = now;
		const versions = digestKinds.flatMap(kind => this.#options.facts.list(kind).map(({key, version}) => ({kind, key, version})));
		this.#options.send(peer.linkId, {kind: messageKind.digest, versions, isAnswerWanted});
	}

	#sendTreeHeartbeats(now: number): void {
		const checksum = this.computeChecksum();
		for (const peer of this.#peers.values()) {
			if (peer.vm !== undefined && peer.isSameDomain) {
				this.#sendHeartbeat(peer, checksum, now);
			}
		}
	}

	#sendHeartbeat(peer: Peer, checksum: number, now: number): void {
		peer.lastHeartbeatAt = now;
		this.#options.send(peer.linkId, {
			kind: messageKind.heartbeat, ...this.tree.position, hops: this.tree.computeAdvertisedHops(peer.linkId), isChild: peer.linkId === this.tree.parentLinkId, check: checksum,
		});
	}
}

function isSameMember(member: MemberFact, previous: MemberFact | undefined): boolean {
	return previous !== undefined && JSON.stringify(member) === JSON.stringify(previous);
}

/** Leaves a configuration's text behind; whoever lacks it asks for it. */
function toWireFact(fact: Fact): WireFact {
	return fact.kind === 'configuration' ? {...fact, value: {hash: (fact.value as ConfigurationFact).hash}} : fact;
}
