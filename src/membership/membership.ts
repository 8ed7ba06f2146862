import type {
	Fact, FactTable, MemberFact, Neighbor,
} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {VmList, VmRecord} from '../store/index.js';
import {vmState} from '../store/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {OwnMember} from './own.js';
import type {OwnOptions} from './own.js';

const publishPeriodMs = 1000;
/** How often the own fact is compared with what was published, in milliseconds. */
const comparePeriodMs = 100;
/** A member of this failure domain that was not heard from for this long is not live, in milliseconds. */
const nearBoundMs = 5000;
/** The same for members of other failure domains, whose facts come rarely. */
const farBoundMs = 60_000;
/** A member that was not heard from for this long and is not on the platform's list is forgotten. */
const forgetMs = 600_000;
const vmsPeriodMs = 5000;
const maxForgotten = 2000;

/** What a membership is made from. */
export type MembershipOptions = OwnOptions & {
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
	readonly own: OwnMember;
	readonly #options: MembershipOptions;
	readonly #heardAt = new Map<string, number>();
	readonly #silent = new Set<string>();
	readonly #forgotten = new Map<string, number>();
	readonly #timers: Timer[] = [];
	#listed: readonly VmRecord[] = [];
	#listedAt: number | undefined;
	#published = '';
	#mustPublish = false;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.own = new OwnMember(options);
		options.facts.subscribe(fact => {
			this.#onFact(fact);
		});
	}

	/** Publishes at once and from then on, and follows the platform's list. */
	start(): void {
		const {timers} = this.#options;
		this.publish();
		void this.readVms();
		this.#timers.push(
			timers.startInterval(publishPeriodMs, () => {
				this.publish();
				this.#markSilent();
			}),
			timers.startInterval(comparePeriodMs, () => {
				this.#publishChange();
			}),
			timers.startInterval(vmsPeriodMs, () => {
				void this.readVms();
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
		this.#mustPublish = false;
		this.#published = JSON.stringify(this.own.createFact());
		this.own.publish();
	}

	/** Reads the platform's list; keeps the known one when it can't be read. */
	async readVms(): Promise<void> {
		try {
			this.#listed = await this.#options.vms.readVms();
			this.#listedAt = this.#options.timers.getNow();
		} catch {
			// The list is a hint that lags anyhow; its age is in the status.
		}
	}

	/** Age of the platform's list here, in milliseconds; `undefined` when it was never read. */
	getListAge(): number | undefined {
		return this.#listedAt === undefined ? undefined : this.#options.timers.getNow() - this.#listedAt;
	}

	/** Lists everybody known, of one failure domain when given: the platform's list merged with who was heard from. */
	listMembers(domain?: string): Member[] {
		const listed = new Map(this.#listed.map(record => [record.vm, record]));
		const facts = new Map(this.#options.facts.list('member').map(fact => [fact.key, fact.value]));
		const vms = [...new Set([...listed.keys(), ...facts.keys()])].toSorted();
		return vms.map(vm => this.#createMember(vm, listed.get(vm), facts.get(vm))).filter(member => domain === undefined || member.domain === domain);
	}

	/** Lists who was heard from within the bound and is not leaving, this entry among them. */
	listLive(domain?: string): Member[] {
		return this.listMembers(domain).filter(member => member.isLive && !member.isLeaving);
	}

	/** Lists whom a connection could be opened to. */
	listNeighbors(): Neighbor[] {
		return this.listMembers().filter(member => member.isListed || member.isLive || (member.silentMs ?? 0) < farBoundMs);
	}

	#createMember(vm: string, record: VmRecord | undefined, fact: MemberFact | undefined): Member {
		const heardAt = this.#heardAt.get(vm);
		const silentMs = heardAt === undefined ? undefined : this.#options.timers.getNow() - heardAt;
		const place = fact ?? record!;
		const boundMs = place.domain === this.#options.domain ? nearBoundMs : farBoundMs;
		return {
			vm,
			domain: place.domain,
			http: place.http,
			peer: place.peer,
			isLive: vm === this.#options.vm || (silentMs !== undefined && silentMs <= boundMs),
			isListed: record !== undefined,
			isLeaving: fact?.state === vmState.leaving || record?.state === vmState.leaving,
			...(silentMs === undefined ? {} : {silentMs}),
			...(fact ? {fact} : {}),
		};
	}

	#onFact(fact: Fact): void {
		if (fact.kind === 'upstream' || fact.kind === 'configuration') {
			this.#mustPublish = true;
		} else if (fact.kind === 'member') {
			this.#onMember(fact as Fact<'member'>);
		}
	}

	#onMember({key, version, value}: Fact<'member'>): void {
		if (key === this.#options.vm) {
			this.#mustPublish = this.own.onForeign(version, value.incarnation) || this.#mustPublish;
			return;
		}

		if (version <= (this.#forgotten.get(key) ?? -1)) {
			// An old word of somebody long gone, still on its way.
			this.#options.facts.forget('member', key);
			return;
		}

		if (!this.#heardAt.has(key) || this.#silent.delete(key)) {
			this.#options.history.record({subject: `member/${key}`, kind: 'heard', detail: `${value.domain} ${value.peer} incarnation ${value.incarnation}`});
		}

		this.#heardAt.set(key, this.#options.timers.getNow());
	}

	#publishChange(): void {
		if (this.#mustPublish || JSON.stringify(this.own.createFact()) !== this.#published) {
			this.publish();
		}
	}

	#markSilent(): void {
		for (const member of this.listMembers()) {
			if (member.silentMs === undefined) {
				continue;
			}

			if (!member.isLive && !this.#silent.has(member.vm)) {
				this.#silent.add(member.vm);
				this.#options.history.record({subject: `member/${member.vm}`, kind: 'silent', detail: `not heard from for ${Math.round(member.silentMs)} ms`});
			}

			if (member.silentMs > forgetMs && !member.isListed) {
				this.#forgetMember(member.vm);
			}
		}
	}

	#forgetMember(vm: string): void {
		this.#forgotten.delete(vm);
		this.#forgotten.set(vm, this.#options.facts.get('member', vm)?.version ?? 0);
		const [oldest] = this.#forgotten.keys();
		if (this.#forgotten.size > maxForgotten && oldest !== undefined) {
			this.#forgotten.delete(oldest);
		}

		this.#options.facts.forget('member', vm);
		this.#heardAt.delete(vm);
		this.#silent.delete(vm);
	}
}
