import type {Fact, FactKind, MemberFact} from './facts.js';

/** Most facts that may wait for one connection; more than this and it is closed as too slow. */
const maxPending = 4000;
/** How many versions a member's fact may rise by before it is passed to another failure domain again. */
const farMemberLag = 20;
/** Kinds that stay inside the failure domain. */
const nearKinds: ReadonlySet<FactKind> = new Set<FactKind>(['load']);
/** Kinds that go out at once; the others wait for the next collecting flush. */
const urgentKinds: ReadonlySet<FactKind> = new Set<FactKind>(['configuration', 'upstream']);

/** What the feed knows of one connection. */
export class Peer {
	/** VM at the other end, once it has said so. */
	vm: string | undefined;
	isNear = false;
	heardAt: number;
	beatAt = 0;
	/** When a digest was last sent here, on the monotonic clock. */
	digestAt = Number.NEGATIVE_INFINITY;
	/** When the lasting facts were first seen to differ; `undefined` while they are the same. */
	differsSince: number | undefined;
	isUrgent = false;
	readonly #pending = new Map<string, Fact>();
	/** For members passed to another failure domain: version and standing as passed. */
	readonly #passed = new Map<string, {readonly version: number; readonly standing: string}>();

	constructor(readonly link: string, now: number) {
		this.heardAt = now;
	}

	/** Adds a fact for the next flush; says `false` when the bound is met. */
	addFact(fact: Fact, isSame: boolean): boolean {
		if (!this.isNear && !this.#isPassedFar(fact)) {
			return true;
		}

		const key = `${fact.kind}/${fact.key}`;
		if (!this.#pending.has(key) && this.#pending.size >= maxPending) {
			return false;
		}

		this.#pending.set(key, fact);
		this.isUrgent ||= urgentKinds.has(fact.kind) || !isSame;
		return true;
	}

	/** Drops a waiting fact that the other end has just shown to know. */
	removeKnown(kind: FactKind, key: string, version: number): void {
		const id = `${kind}/${key}`;
		if ((this.#pending.get(id)?.version ?? Number.POSITIVE_INFINITY) <= version) {
			this.#pending.delete(id);
		}
	}

	/** Takes every waiting fact. */
	takePending(): Fact[] {
		const facts = [...this.#pending.values()];
		this.#pending.clear();
		this.isUrgent = false;
		return facts;
	}

	#isPassedFar(fact: Fact): boolean {
		if (nearKinds.has(fact.kind)) {
			return false;
		}

		if (fact.kind !== 'member') {
			return true;
		}

		const standing = formatStanding(fact.value as MemberFact);
		const passed = this.#passed.get(fact.key);
		if (passed?.standing === standing && fact.version < passed.version + farMemberLag) {
			return false;
		}

		this.#passed.set(fact.key, {version: fact.version, standing});
		return true;
	}
}

/** Asks whether a member's fact from another failure domain is worth passing on, given the known one. */
export function isFarNews(fact: Fact, known: Fact | undefined): boolean {
	if (fact.kind !== 'member' || !known) {
		return true;
	}

	return fact.version >= known.version + farMemberLag
		|| (fact.version > known.version && formatStanding(fact.value as MemberFact) !== formatStanding(known.value as MemberFact));
}

/** Formats what other failure domains want to know of a member at once. */
function formatStanding(member: MemberFact): string {
	return `${member.incarnation}/${member.state}/${member.configuration}/${member.http}`;
}
