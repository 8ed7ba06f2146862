import type {Fact, FactKind, MemberFact} from './facts.js';

/** Most facts that may wait for one connection; more than this and it is closed as too slow. */
const maxPendingFacts = 4000;
/** How many versions a member's fact may rise by before it is passed to another failure domain again. */
const crossDomainVersionStep = 20;
/** Kinds that stay inside the failure domain. */
const sameDomainKinds: ReadonlySet<FactKind> = new Set<FactKind>(['load']);
/** Kinds that go out at once; the others wait for the next collecting flush. */
const urgentKinds: ReadonlySet<FactKind> = new Set<FactKind>(['configuration', 'upstream']);

/** What the feed knows of one connection. */
export class Peer {
	/** VM at the other end, once it has said so. */
	vm: string | undefined;
	isSameDomain = false;
	lastReceivedAt: number;
	lastHeartbeatAt = 0;
	/** When a digest was last sent here, on the monotonic clock. */
	lastDigestAt = Number.NEGATIVE_INFINITY;
	/** When the lasting facts were first seen to differ; `undefined` while they are the same. */
	differsSince: number | undefined;
	hasUrgentFacts = false;
	readonly #pending = new Map<string, Fact>();
	/** For members passed to another failure domain: version and standing as passed. */
	readonly #sentMembers = new Map<string, {readonly version: number; readonly summary: string}>();

	constructor(readonly linkId: string, now: number) {
		this.lastReceivedAt = now;
	}

	/** Adds a fact for the next flush; says `false` when the bound is met. */
	enqueueFact(fact: Fact, isUnchanged: boolean): boolean {
		if (!this.isSameDomain && !this.#isSentAcrossDomains(fact)) {
			return true;
		}

		const key = `${fact.kind}/${fact.key}`;
		if (!this.#pending.has(key) && this.#pending.size >= maxPendingFacts) {
			return false;
		}

		this.#pending.set(key, fact);
		this.hasUrgentFacts ||= urgentKinds.has(fact.kind) || !isUnchanged;
		return true;
	}

	/** Drops a waiting fact that the other end has just shown to know. */
	removeKnownFact(kind: FactKind, key: string, version: number): void {
		const id = `${kind}/${key}`;
		if ((this.#pending.get(id)?.version ?? Number.POSITIVE_INFINITY) <= version) {
			this.#pending.delete(id);
		}
	}

	/** Takes every waiting fact. */
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

/** Asks whether a member's fact from another failure domain is worth passing on, given the known one. */
export function isSignificantUpdate(fact: Fact, known: Fact | undefined): boolean {
	if (fact.kind !== 'member' || !known) {
		return true;
	}

	return fact.version >= known.version + crossDomainVersionStep
		|| (fact.version > known.version && formatMemberSummary(fact.value as MemberFact) !== formatMemberSummary(known.value as MemberFact));
}

/** Formats what other failure domains want to know of a member at once. */
function formatMemberSummary(member: MemberFact): string {
	return `${member.incarnation}/${member.state}/${member.configuration}/${member.http}`;
}
