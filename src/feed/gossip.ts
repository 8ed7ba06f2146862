import type {
	ConfigurationFact, Fact, FactKind, MemberFact,
} from './facts.js';
import {messageKind} from './messages.js';
import type {
	DigestMessage, FactsMessage, HeartbeatMessage, HelloMessage, PeerMessage, TextMessage, WireFact,
} from './messages.js';
import {isSignificantUpdate, Peer} from './peer.js';
import {hashText} from './rendezvous.js';
import type {FactTable} from './table.js';
import {BroadcastTree} from './tree.js';

/** Interval between heartbeats on a connection, in milliseconds. */
export const heartbeatIntervalMs = 1000;
/** Time without any message after which a connection counts as silent, in milliseconds. */
export const silenceTimeoutMs = 3500;
/** Minimum time between digests sent on a connection, in milliseconds. */
const minDigestIntervalMs = 2000;
/** How long checksums must differ before a digest is sent, in milliseconds; facts in transit make them differ briefly. */
const digestDelayMs = 1500;
/** Time without a response after which a configuration's text is requested again, in milliseconds. */
const textRequestTimeoutMs = 1000;
const checksumModulus = 2 ** 32;
/** Kinds of facts in the checksum: they are published only when they change, so no later fact makes up for a lost one. */
const checksumKinds: readonly FactKind[] = ['configuration', 'upstream'];
/** Kinds of facts in a digest. */
const digestKinds: readonly FactKind[] = ['configuration', 'upstream', 'member', 'demand'];

/** Options of {@link Gossip}. */
export type GossipOptions = {
	readonly vm: string;
	readonly domain: string;
	readonly facts: FactTable;
	/** First sequence number in the broadcast tree; must be higher than any that an earlier process on the same VM has sent. */
	readonly sequence: number;
	/** Sends a message over a connection. */
	readonly send: (linkId: string, message: PeerMessage) => void;
	/** Closes a connection that is too slow or that has sent a configuration with a wrong hash. */
	readonly close: (linkId: string) => void;
	/** Tells whether `hash` is the hash of a configuration's `text`. */
	readonly isHashValid: (text: string, hash: string) => boolean;
	/** Called to count each dropped message or fact, and each request for a text, under `label`. */
	readonly onCount: (label: string) => void;
	/** Whether digests repair lost facts; `false` only to show that the fault matrix detects the missing repair. */
	readonly hasAntiEntropy?: boolean;
};

/**
The gossip protocol of one entry. It decides which facts are sent over which connection; it does no I/O and reads no clock
(`now` is always in milliseconds of the monotonic clock).

Within a failure domain, facts are broadcast along the links of a {@link BroadcastTree}. Connections to other domains carry
every kind of fact except loads, and members' facts at a lower rate. Every heartbeat carries a checksum of the configuration
and upstream facts. While the checksums of two connected entries keep differing, a fact was lost: they exchange digests of the
versions that they know, and each sends the facts that the other lacks (anti-entropy).
*/
export class Gossip {
	readonly tree: BroadcastTree;
	readonly #options: GossipOptions;
	readonly #peers = new Map<string, Peer>();
	/** Latest request for a configuration's text by connection. */
	readonly #textRequests = new Map<string, {readonly version: number; readonly requestedAt: number}>();
	/** Connection that the fact being merged came from; the fact is not sent back over it. */
	#sourceLinkId: string | undefined;
	#advancedAt = Number.NEGATIVE_INFINITY;

	constructor(options: GossipOptions) {
		this.#options = options;
		this.tree = new BroadcastTree(options.vm, options.domain, options.sequence);
		options.facts.subscribe((fact, previous) => {
			this.#enqueueFact(fact, previous);
		});
	}

	/** Lists the VMs at the other ends of the connections, as far as their hello messages have arrived. */
	listConnectedVms(): string[] {
		return [...this.#peers.values()].flatMap(peer => peer.vm ?? []);
	}

	countLinks(): number {
		return this.#peers.size;
	}

	/** Adds a connection and sends the hello message over it. */
	addLink(linkId: string, now: number): void {
		this.#peers.set(linkId, new Peer(linkId, now));
		this.#options.send(linkId, {kind: messageKind.hello, vm: this.#options.vm, domain: this.#options.domain});
	}

	/** Removes a closed connection. */
	removeLink(linkId: string, now: number): void {
		this.#peers.delete(linkId);
		this.#textRequests.delete(linkId);
		this.tree.onLinkClosed(linkId, now);
	}

	/** Handles a message; one that arrives before the other end's hello is dropped. */
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

	/** Sends the heartbeats that are due; to be called several times per heartbeat interval. */
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

	/** Sends all pending facts, or with `isUrgentOnly` those of the connections that have an urgent one. */
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

	/** Lists the connections without a message for longer than {@link silenceTimeoutMs}. */
	listSilentLinks(now: number): string[] {
		return [...this.#peers.values()].filter(peer => now - peer.lastReceivedAt > silenceTimeoutMs).map(peer => peer.linkId);
	}

	/** Computes the checksum of the configuration and upstream facts by their versions; their order does not matter. */
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
		const isMemberUnchanged = fact.kind !== 'member' || isSameMember(fact.value as MemberFact, previous?.value as MemberFact | undefined);
		for (const peer of this.#peers.values()) {
			const isRecipient = peer.vm !== undefined && peer.linkId !== this.#sourceLinkId && (!peer.isSameDomain || this.tree.isTreeLink(peer.linkId));
			if (isRecipient && !peer.enqueueFact(fact, isMemberUnchanged)) {
				this.#options.onCount('queue_full');
				this.#options.close(peer.linkId);
			}
		}
	}

	#requestText(linkId: string, version: number, now: number): void {
		if (version <= (this.#options.facts.get('configuration', '')?.version ?? -1)) {
			return;
		}

		// A text is requested over one connection at a time; another request follows when there was no response in time.
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

/** Replaces a configuration's value by its hash alone; a receiver that lacks the text requests it. */
function toWireFact(fact: Fact): WireFact {
	return fact.kind === 'configuration' ? {...fact, value: {hash: (fact.value as ConfigurationFact).hash}} : fact;
}
