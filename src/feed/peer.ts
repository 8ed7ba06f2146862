import type {Fact, FactKind, MemberFact} from './facts.js';

/** Maximum number of facts that wait for one connection; a connection that exceeds it is too slow and is closed. */
const maxPendingFacts = 4000;
/**
How much the version of a member's fact must rise before the fact is sent to another failure domain again, while its
summary is unchanged.
*/
const crossDomainVersionStep = 20;
/** Kinds of facts that are not sent to other failure domains. */
const sameDomainKinds: ReadonlySet<FactKind> = new Set<FactKind>(['load']);
/** Kinds of facts that are sent with the next flush; others wait for the next full flush. */
const urgentKinds: ReadonlySet<FactKind> = new Set<FactKind>(['configuration', 'upstream']);

/** State that `Gossip` keeps for one connection: the other end, and the facts that wait to be sent. */
export class Peer {
	/** VM at the other end; `undefined` until its hello message has arrived. */
	vm: string | undefined;
	/** Whether the other end is in this entry's failure domain. */
	isSameDomain = false;
	/** When a message last arrived, in milliseconds of the monotonic clock. */
	lastReceivedAt: number;
	/** When a heartbeat was last sent, in milliseconds of the monotonic clock. */
	lastHeartbeatAt = 0;
	/** When a digest was last sent, in milliseconds of the monotonic clock. */
	lastDigestAt = Number.NEGATIVE_INFINITY;
	/** Since when the checksums of both ends have differed; `undefined` while they are equal. */
	differsSince: number | undefined;
	/** Whether a pending fact is to be sent with the next flush. */
	hasUrgentFacts = false;
	readonly #pending = new Map<string, Fact>();
	/** Version and summary of each member's fact when it was last queued for another failure domain. */
	readonly #sentMembers = new Map<string, {readonly version: number; readonly summary: string}>();

	constructor(readonly linkId: string, now: number) {
		this.lastReceivedAt = now;
	}

	/**
	Queues a fact, in place of a queued one of the same kind and key. A fact that need not cross to the other failure domain
	is left out. `isMemberUnchanged` is `false` for a member's fact with a new value, which is urgent. Returns `false` when the
	queue is full.
	*/
	enqueueFact(fact: Fact, isMemberUnchanged: boolean): boolean {
		if (!this.isSameDomain && !this.#isSentAcrossDomains(fact)) {
			return true;
		}

		const key = `${fact.kind}/${fact.key}`;
		if (!this.#pending.has(key) && this.#pending.size >= maxPendingFacts) {
			return false;
		}

		this.#pending.set(key, fact);
		this.hasUrgentFacts ||= urgentKinds.has(fact.kind) || !isMemberUnchanged;
		return true;
	}

	/** Drops a queued fact when the other end has just sent the same version of it or a newer one. */
	removeKnownFact(kind: FactKind, key: string, version: number): void {
		const id = `${kind}/${key}`;
		if ((this.#pending.get(id)?.version ?? Number.POSITIVE_INFINITY) <= version) {
			this.#pending.delete(id);
		}
	}

	/** Removes and returns all queued facts. */
	takePendingFacts(): Fact[] {
		const facts = [...this.#pending.values()];
		this.#pending.clear();
		this.hasUrgentFacts = false;
		return facts;
	}

	#isSentAcrossDomains(fact: Fact): boolean {
		if (sameDomainKinds.has(fact.kind)) {
			return false;
		}

		if (fact.kind !== 'member') {
			return true;
		}

		const summary = formatMemberSummary(fact.value as MemberFact);
		const lastSent = this.#sentMembers.get(fact.key);
		if (lastSent?.summary === summary && fact.version < lastSent.version + crossDomainVersionStep) {
			return false;
		}

		this.#sentMembers.set(fact.key, {version: fact.version, summary});
		return true;
	}
}

/**
Tells whether a fact from another failure domain is to be merged. A member's fact is when none is known yet, when its version
has risen by `crossDomainVersionStep`, or when it is newer and its summary differs. Facts of other kinds always are.
*/
export function isSignificantUpdate(fact: Fact, known: Fact | undefined): boolean {
	if (fact.kind !== 'member' || !known) {
		return true;
	}

	return fact.version >= known.version + crossDomainVersionStep
		|| (fact.version > known.version && formatMemberSummary(fact.value as MemberFact) !== formatMemberSummary(known.value as MemberFact));
}

/** Formats the parts of a member's fact whose changes other failure domains need at once. */
function formatMemberSummary(member: MemberFact): string {
	return `${member.incarnation}/${member.state}/${member.configuration}/${member.http}`;
}
