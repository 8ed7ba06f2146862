import type {
	Fact, FactTable, MemberFact, Neighbor,
} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {VmList, VmRecord} from '../store/index.js';
import {vmState} from '../store/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {LocalMember} from './localmember.js';
import type {LocalMemberDependencies} from './localmember.js';

/** Interval at which the local member fact is published, changed or not, in milliseconds. */
const publishIntervalMs = 1000;
/** Interval at which the local member fact is compared with the published one, to publish a change early, in milliseconds. */
const compareIntervalMs = 100;
/** Time without a fact from a member of this failure domain after which it is not live, in milliseconds. */
const localDomainTimeoutMs = 5000;
/** Time without a fact from a member of another failure domain after which it is not live, in milliseconds; longer, as these facts arrive rarely. */
const remoteDomainTimeoutMs = 60_000;
/** Time without a fact after which a member that is not on the platform's list of VMs is forgotten, in milliseconds. */
const forgetAfterMs = 600_000;
/** Interval at which the platform's list of VMs is read, in milliseconds. */
const vmListIntervalMs = 5000;
/** Maximum number of forgotten members whose last version is remembered, to recognize late facts about them. */
const maxForgottenMembers = 2000;

/** What a {@link Membership} needs. */
export type MembershipDependencies = LocalMemberDependencies & {
	readonly vms: VmList;
	readonly history: History;
	readonly facts: FactTable;
	readonly timers: TimerService;
};

/** An entry as this entry knows it. */
export type Member = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	/** Whether a fact from it was received lately; always `true` for the local entry. */
	readonly isLive: boolean;
	/** Whether it is on the platform's list of VMs, which may be out of date. */
	readonly isListed: boolean;
	/** Whether it is shutting down, by its own fact or the platform's list. */
	readonly isLeaving: boolean;
	/** Time since a fact from it was last received, in milliseconds; absent when none was. */
	readonly silentMs?: number;
	/** The latest fact that it published about itself. */
	readonly fact?: MemberFact;
};

/**
Publishes the local entry's member fact and tracks the other entries. An entry is live while its facts keep arriving, by the
local clock, so that clocks of different VMs are never compared.
*/
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

	/** Publishes the local member fact now and at intervals, and reads the platform's list of VMs at intervals. */
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

	/** Stops publishing and reading the list of VMs. */
	stop(): void {
		for (const timer of this.#timers) {
			timer.cancel();
		}
	}

	/** Publishes the local member fact as it is now. */
	publish(): void {
		this.#isPublishDue = false;
		this.#publishedFact = JSON.stringify(this.localMember.createFact());
		this.localMember.publish();
	}

	/** Reads the platform's list of VMs; keeps the previous list when it can't be read. */
	async refreshVmList(): Promise<void> {
		try {
			this.#vmRecords = await this.#dependencies.vms.readVms();
			this.#vmListReadAt = this.#dependencies.timers.getNow();
		} catch {
			// The list is only a hint and may be out of date anyway; operators see its age in the status.
		}
	}

	/** Time since the platform's list of VMs was last read, in milliseconds; `undefined` when it never was. */
	getVmListAgeMs(): number | undefined {
		return this.#vmListReadAt === undefined ? undefined : this.#dependencies.timers.getNow() - this.#vmListReadAt;
	}

	/** Lists all known entries, or those of `domain`: the platform's list of VMs merged with the entries that published a fact. */
	listMembers(domain?: string): Member[] {
		const recordsByVm = new Map(this.#vmRecords.map(record => [record.vm, record]));
		const factsByVm = new Map(this.#dependencies.facts.list('member').map(fact => [fact.key, fact.value]));
		const vms = [...new Set([...recordsByVm.keys(), ...factsByVm.keys()])].toSorted();
		return vms.map(vm => this.#createMember(vm, recordsByVm.get(vm), factsByVm.get(vm))).filter(member => domain === undefined || member.domain === domain);
	}

	/** Lists the entries that are live and not leaving, the local one among them; only those of `domain` when given. */
	listLive(domain?: string): Member[] {
		return this.listMembers(domain).filter(member => member.isLive && !member.isLeaving);
	}

	/** Lists the entries that a connection may be opened to. */
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
			// A late fact about a member that was forgotten: storing it would bring the member back.
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
				this.#dependencies.history.record({subject: `member/${member.vm}`, kind: 'silent', detail: `nothing received for ${Math.round(member.silentMs)} ms`});
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
