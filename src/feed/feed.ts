import type {
	ConfigurationFact, Fact, FactKind, MemberFact,
} from './facts.js';
import {messageKind} from './messages.js';
import type {
	BeatMessage, DigestMessage, FactsMessage, HelloMessage, PeerMessage, TextMessage, WireFact,
} from './messages.js';
import {isFarNews, Peer} from './peer.js';
import {hashText} from './rendezvous.js';
import type {FactTable} from './table.js';
import {SpreadTree} from './tree.js';

/** Time between two heartbeats on a connection, in milliseconds. */
export const beatPeriodMs = 1000;
/** A connection without any message for this long is taken for silent, in milliseconds. */
export const silenceBoundMs = 3500;
/** Shortest time between two digests on a connection, in milliseconds. */
const digestPeriodMs = 2000;
/** How long lasting facts may differ before a digest goes out: facts under way need a moment. */
const differBoundMs = 1500;
/** Shortest time between two requests for the same text on one connection, in milliseconds. */
const needPeriodMs = 1000;
const checkBound = 2 ** 32;
/** Kinds whose loss no later fact repairs. */
const lastingKinds: readonly FactKind[] = ['configuration', 'upstream'];
const digestKinds: readonly FactKind[] = ['configuration', 'upstream', 'member', 'demand'];

/** What the feed decides with. */
export type FeedOptions = {
	readonly vm: string;
	readonly domain: string;
	readonly facts: FactTable;
	/** Must be higher than at an earlier start of the same VM. */
	readonly sequence: number;
	/** Hands a message to a connection. */
	readonly send: (link: string, message: PeerMessage) => void;
	/** Ends a connection that can't keep up or breaks the protocol. */
	readonly close: (link: string) => void;
	/** Checks a configuration's text against its hash. */
	readonly isText: (text: string, hash: string) => boolean;
	/** Told of each message dropped, with its kind, and of each text asked for. */
	readonly onCount: (what: string) => void;
	/** Taken out only to see the matrix fail: anti-entropy by digests. */
	readonly hasAntiEntropy?: boolean;
};

/**
Decides which facts go to which neighbours; does no I/O and reads no clock. Inside a failure domain facts travel over
the links of a {@link SpreadTree}; links to other failure domains carry every kind but loads, members rarely. Each
beat compares a hash of the lasting facts, so that whatever was lost is found on every link and repaired by digests.
*/
export class Feed {
	readonly tree: SpreadTree;
	readonly #options: FeedOptions;
	readonly #peers = new Map<string, Peer>();
	readonly #needs = new Map<string, {readonly version: number; readonly at: number}>();
	#source: string | undefined;
	#advancedAt = Number.NEGATIVE_INFINITY;

	constructor(options: FeedOptions) {
		this.#options = options;
		this.tree = new SpreadTree(options.vm, options.domain, options.sequence);
		options.facts.subscribe((fact, known) => {
			this.#addFact(fact, known);
		});
	}

	/** Lists the VMs at the other ends. */
	listVms(): string[] {
		return [...this.#peers.values()].flatMap(peer => peer.vm ?? []);
	}

	/** Counts the connections. */
	countLinks(): number {
		return this.#peers.size;
	}

	/** Takes a connection in and says hello. */
	addLink(link: string, now: number): void {
		this.#peers.set(link, new Peer(link, now));
		this.#options.send(link, {kind: messageKind.hello, vm: this.#options.vm, domain: this.#options.domain});
	}

	/** Forgets a closed connection. */
	removeLink(link: string, now: number): void {
		this.#peers.delete(link);
		this.#needs.delete(link);
		this.tree.onClosed(link, now);
	}

	/** Takes in a message. */
	onMessage(link: string, message: PeerMessage, now: number): void {
		const peer = this.#peers.get(link);
		if (!peer) {
			return;
		}

		peer.heardAt = now;
		if (message.kind !== messageKind.hello && peer.vm === undefined) {
			this.#options.onCount('before_hello');
			return;
		}

		switch (message.kind) {
			case messageKind.hello: {
				this.#onHello(peer, message, now);
				break;
			}

			case messageKind.beat: {
				this.#onBeat(peer, message, now);
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

			case messageKind.need: {
				this.#sendText(link);
				break;
			}

			case messageKind.text: {
				this.#onText(link, message);
				break;
			}
		}
	}

	/** Sends the beats that are due; called several times a second. */
	sendBeats(now: number): void {
		if (now - this.#advancedAt >= beatPeriodMs - 1) {
			this.#advancedAt = now;
			this.tree.advance(now);
		}

		const check = this.computeCheck();
		for (const peer of this.#peers.values()) {
			if (peer.vm !== undefined && now - peer.beatAt >= beatPeriodMs - 1) {
				this.#sendBeat(peer, check, now);
			}
		}
	}

	/** Sends the facts that wait: urgent ones only, or all. */
	sendFacts(isUrgentOnly: boolean): void {
		for (const peer of this.#peers.values()) {
			if (isUrgentOnly && !peer.isUrgent) {
				continue;
			}

			const facts = peer.takePending();
			if (facts.length > 0) {
				this.#options.send(peer.link, {kind: messageKind.facts, facts: facts.map(fact => toWireFact(fact))});
			}
		}
	}

	/** Lists the connections that have been silent for too long. */
	listSilent(now: number): string[] {
		return [...this.#peers.values()].filter(peer => now - peer.heardAt > silenceBoundMs).map(peer => peer.link);
	}

	/** Computes the hash of the lasting facts; equal tables have equal hashes. */
	computeCheck(): number {
		let check = 0;
		for (const kind of lastingKinds) {
			for (const {key, version} of this.#options.facts.list(kind)) {
				check = (check + hashText(`${kind}/${key}/${version}`)) % checkBound;
			}
		}

		return check;
	}

	#onHello(peer: Peer, message: HelloMessage, now: number): void {
		peer.vm = message.vm;
		peer.isNear = message.domain === this.#options.domain;
		this.#sendBeat(peer, this.computeCheck(), now);
		this.#sendDigest(peer, true, now);
	}

	#onBeat(peer: Peer, message: BeatMessage, now: number): void {
		if (peer.isNear) {
			const {parent} = this.tree;
			const {root} = this.tree.beacon;
			this.tree.onOffer(peer.link, message, now);
			if (parent !== this.tree.parent || root !== this.tree.beacon.root) {
				this.#sendTreeBeats(now);
			}
		}

		this.#compareCheck(peer, message.check, now);
	}

	#compareCheck(peer: Peer, check: number, now: number): void {
		if (check === this.computeCheck()) {
			peer.differsSince = undefined;
			return;
		}

		peer.differsSince ??= now;
		const isDue = now - peer.differsSince >= differBoundMs && now - peer.digestAt >= digestPeriodMs;
		if (isDue && this.#options.hasAntiEntropy !== false) {
			this.#sendDigest(peer, true, now);
		}
	}

	#onFacts(peer: Peer, message: FactsMessage, now: number): void {
		for (const wire of message.facts) {
			peer.removeKnown(wire.kind, wire.key, wire.version);
			const known = this.#options.facts.get(wire.kind, wire.key);
			if (wire.kind === 'configuration') {
				this.#sendNeed(peer.link, wire.version, now);
			} else if (peer.isNear || isFarNews(wire as Fact, known)) {
				this.#mergeFact(peer.link, wire as Fact);
			}
		}
	}

	#onDigest(peer: Peer, message: DigestMessage, now: number): void {
		const theirs = new Map(message.versions.map(({kind, key, version}) => [`${kind}/${key}`, version]));
		const newer = digestKinds.flatMap(kind => this.#options.facts.list(kind) as Fact[])
			.filter(fact => fact.version > (theirs.get(`${fact.kind}/${fact.key}`) ?? -1));
		if (newer.length > 0) {
			this.#options.send(peer.link, {kind: messageKind.facts, facts: newer.map(fact => toWireFact(fact))});
		}

		if (message.isAnswerWanted) {
			this.#sendDigest(peer, false, now);
		}
	}

	#onText(link: string, {version, hash, text}: TextMessage): void {
		if (!this.#options.isText(text, hash)) {
			this.#options.onCount('bad_text');
			this.#options.close(link);
			return;
		}

		this.#mergeFact(link, {
			kind: 'configuration', key: '', version, value: {text, hash},
		});
	}

	#mergeFact(link: string, fact: Fact): void {
		this.#source = link;
		const isNew = this.#options.facts.merge(fact);
		this.#source = undefined;
		if (!isNew) {
			this.#options.onCount('known_fact');
		}
	}

	#addFact(fact: Fact, known: Fact | undefined): void {
		const isSame = fact.kind !== 'member' || isSameMember(fact.value as MemberFact, known?.value as MemberFact | undefined);
		for (const peer of this.#peers.values()) {
			const isCarrier = peer.vm !== undefined && peer.link !== this.#source && (!peer.isNear || this.tree.isTreeLink(peer.link));
			if (isCarrier && !peer.addFact(fact, isSame)) {
				this.#options.onCount('queue_full');
				this.#options.close(peer.link);
			}
		}
	}

	#sendNeed(link: string, version: number, now: number): void {
		if (version <= (this.#options.facts.get('configuration', '')?.version ?? -1)) {
			return;
		}

		// One request at a time for a text, over whichever link; another one when the first has had no answer.
		for (const need of this.#needs.values()) {
			if (need.version >= version && now - need.at < needPeriodMs) {
				return;
			}
		}

		this.#needs.set(link, {version, at: now});
		this.#options.onCount('text_asked');
		this.#options.send(link, {kind: messageKind.need, version});
	}

	#sendText(link: string): void {
		const fact = this.#options.facts.get('configuration', '');
		if (fact) {
			this.#options.send(link, {kind: messageKind.text, version: fact.version, ...fact.value});
		}
	}

	#sendDigest(peer: Peer, isAnswerWanted: boolean, now: number): void {
		peer.digestAt = now;
		const versions = digestKinds.flatMap(kind => this.#options.facts.list(kind).map(({key, version}) => ({kind, key, version})));
		this.#options.send(peer.link, {kind: messageKind.digest, versions, isAnswerWanted});
	}

	#sendTreeBeats(now: number): void {
		const check = this.computeCheck();
		for (const peer of this.#peers.values()) {
			if (peer.vm !== undefined && peer.isNear) {
				this.#sendBeat(peer, check, now);
			}
		}
	}

	#sendBeat(peer: Peer, check: number, now: number): void {
		peer.beatAt = now;
		this.#options.send(peer.link, {
			kind: messageKind.beat, ...this.tree.beacon, hops: this.tree.computeHops(peer.link), isChild: peer.link === this.tree.parent, check,
		});
	}
}

function isSameMember(member: MemberFact, known: MemberFact | undefined): boolean {
	return known !== undefined && JSON.stringify(member) === JSON.stringify(known);
}

/** Leaves a configuration's text behind; whoever lacks it asks for it. */
function toWireFact(fact: Fact): WireFact {
	return fact.kind === 'configuration' ? {...fact, value: {hash: (fact.value as ConfigurationFact).hash}} : fact;
}
