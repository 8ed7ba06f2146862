import type {
	Fact, FactTable, MemberFact, Neighbor,
} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {VmList, VmRecord} from '../store/index.js';
import {vmState} from '../store/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {LocalMember} from './localmember.js';
import type {LocalMemberDependencies} from './localmember.js';

const publishIntervalMs = 1000;
/** How often the own fact is compared with what was published, in milliseconds. */
const compareIntervalMs = 100;
/** A member of this failure domain that was not heard from for this long is not live, in milliseconds. */
const localDomainTimeoutMs = 5000;
/** The same for members of other failure domains, whose facts come rarely. */
const remoteDomainTimeoutMs = 60_000;
/** A member that was not heard from for this long and is not on the platform's list is forgotten. */
const forgetAfterMs = 600_000;
const vmListIntervalMs = 5000;
const maxForgottenMembers = 2000;

/** What a membership is made from. */
export type MembershipDependencies = LocalMemberDependencies & {
	readonly vms: VmList;
	readonly history: History;
	readonly facts: FactTable;
	readonly timers: TimerService;
};

/** A member as it is known here. */
export type Member = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	/** Heard from within the bound. */
	readonly isLive: boolean;
	/** On the platform's list, which lags. */
	readonly isListed: boolean;
	/** Leaving, by its own word or the platform's. */
	readonly isLeaving: boolean;
	/** Since it was heard from, in milliseconds; `undefined` when it never was. */
	readonly silentMs?: number;
	/** What it last said of itself. */
	readonly fact?: MemberFact;
};

/** Publishes the entry's own standing and tells who else is there, by local time of receipt. */
export class Membership {
	readonly localMember: LocalMember;
	readonly #dependencies: MembershipDependencies;
	readonly #lastReceivedAt = new Map<string, number>();
	readonly #silentVms = new Set<string>();
	readonly #forgottenVersions = new Map<string, number>();
	readonly #timers: Timer[] = [];
	#vmRecords: readonly VmRecord[] = [];
	#vmListReadAt: number | undefined;
	#publishedFact = '';
	#isPublishDue = false;

	constructor(dependencies: MembershipDependencies) {
		this.#dependencies = dependencies;
		this.localMember = new LocalMember(dependencies);
		dependencies.facts.subscribe(fact => {
			this.#onFact(fact);
		});
	}

	/** Publishes at once and from then on, and follows the platform's list. */
	start(): void {
		const {timers} = this.#dependencies;
		this.publish();
		void this.refreshVmList();
		this.#timers.push(
			timers.startInterval(publishIntervalMs, () => {
				this.publish();
				this.#expireMembers();
			}),
			timers.startInterval(compareIntervalMs, () => {
				this.#publishIfChanged();
			}),
			timers.startInterval(vmListIntervalMs, () => {
				void this.refreshVmList();
			}),
		);
	}

	/** Ends publishing. */
	stop(): void {
		for (const timer of this.#timers) {
			timer.cancel();
		}
	}

	/** Publishes the own fact of this moment. */
	publish(): void {
		this.#isPublishDue = false;
		this.#publishedFact = JSON.stringify(this.localMember.createFact());
		this.localMember.publish();
	}

	/** Reads the platform's list; keeps the known one when it can't be read. */
	async refreshVmList(): Promise<void> {
		try {
			this.#vmRecords = await this.#dependencies.vms.readVms();
			this.#vmListReadAt = this.#dependencies.timers.getNow();
		} catch {
			// The list is a hint that lags anyhow; its age is in the status.
		}
	}

	/** Age of the platform's list here, in milliseconds; `undefined` when it was never read. */
	getVmListAgeMs(): number | undefined {
		return this.#vmListReadAt === undefined ? undefined : this.#dependencies.timers.getNow() - this.#vmListReadAt;
	}

	/** Lists everybody known, of one failure domain when given: the platform's list merged with who was heard from. */
	listMembers(domain?: string): Member[] {
		const recordsByVm = new Map(this.#vmRecords.map(record => [record.vm, record]));
		const facts = new Map(this.#dependencies.facts.list('member').map(fact => [fact.key, fact.value]));
		const vms = [...new Set([...recordsByVm.keys(), ...facts.keys()])].toSorted();
		return vms.map(vm => this.#createMember(vm, recordsByVm.get(vm), facts.get(vm))).filter(member => domain === undefined || member.domain === domain);
	}

	/** Lists who was heard from within the bound and is not leaving, this entry among them. */
	listLive(domain?: string): Member[] {
		return this.listMembers(domain).filter(member => member.isLive && !member.isLeaving);
	}

	/** Lists whom a connection could be opened to. */
	listNeighbors(): Neighbor[] {
		return this.listMembers().filter(member => member.isListed || member.isLive || (member.silentMs ?? 0) < remoteDomainTimeoutMs);
	}

	#createMember(vm: string, record: VmRecord | undefined, fact: MemberFact | undefined): Member {
		const lastReceivedAt = this.#lastReceivedAt.get(vm);
		const silentMs = lastReceivedAt === undefined ? undefined : this.#dependencies.timers.getNow() - lastReceivedAt;
		const location = fact ?? record!;
		const timeoutMs = location.domain === this.#dependencies.domain ? localDomainTimeoutMs : remoteDomainTimeoutMs;
		return {
			vm,
			domain: location.domain,
			http: location.http,
			peer: location.peer,
			isLive: vm === this.#dependencies.vm || (silentMs !== undefined && silentMs <= timeoutMs),
			isListed: record !== undefined,
			isLeaving: fact?.state === vmState.leaving || record?.state === vmState.leaving,
			...(silentMs === undefined ? {} : {silentMs}),
			...(fact ? {fact} : {}),
		};
	}

	#onFact(fact: Fact): void {
		if (fact.kind === 'upstream' || fact.kind === 'configuration') {
			this.#isPublishDue = true;
		} else if (fact.kind === 'member') {
			this.#onMemberFact(fact as Fact<'member'>);
		}
	}

	#onMemberFact({key, version, value}: Fact<'member'>): void {
		if (key === this.#dependencies.vm) {
			this.#isPublishDue = this.localMember.onRemoteFact(version, value.incarnation) || this.#isPublishDue;
			return;
		}

		if (version <= (this.#forgottenVersions.get(key) ?? -1)) {
			// An old word of somebody long gone, still on its way.
			this.#dependencies.facts.forget('member', key);
			return;
		}

		if (!this.#lastReceivedAt.has(key) || this.#silentVms.delete(key)) {
			this.#dependencies.history.record({subject: `member/${key}`, kind: 'heard', detail: `${value.domain} ${value.peer} incarnation ${value.incarnation}`});
		}

		this.#lastReceivedAt.set(key, this.#dependencies.timers.getNow());
	}

	#publishIfChanged(): void {
		if (this.#isPublishDue || JSON.stringify(this.localMember.createFact()) !== this.#publishedFact) {
			this.publish();
		}
	}

	#expireMembers(): void {
		for (const member of this.listMembers()) {
			if (member.silentMs === undefined) {
				continue;
			}

			if (!member.isLive && !this.#silentVms.has(member.vm)) {
				this.#silentVms.add(member.vm);
				this.#dependencies.history.record({subject: `member/${member.vm}`, kind: 'silent', detail: `not heard from for ${Math.round(member.silentMs)} ms`});
			}

			if (member.silentMs > forgetAfterMs && !member.isListed) {
				this.#forgetMember(member.vm);
			}
		}
	}

	#forgetMember(vm: string): void {
		this.#forgottenVersions.delete(vm);
		this.#forgottenVersions.set(vm, this.#dependencies.facts.get('member', vm)?.version ?? 0);
		const [oldest] = this.#forgottenVersions.keys();
		if (this.#forgottenVersions.size > maxForgottenMembers && oldest !== undefined) {
			this.#forgottenVersions.delete(oldest);
		}

		this.#dependencies.facts.forget('member', vm);
		this.#lastReceivedAt.delete(vm);
		this.#silentVms.delete(vm);
	}
}
