import type {FactTable, MemberFact} from '../feed/index.js';
import type {TimerService} from '../timers/index.js';

type Contact = {readonly version: number; readonly receivedAt: number};

/** When the entries of a domain were last heard from, on this process's monotonic clock. */
export class DomainMembers {
	readonly #facts: FactTable;
	readonly #timers: TimerService;
	readonly #domain: string;
	readonly #contacts = new Map<string, Contact>();
	readonly #unsubscribe: () => void;

	constructor(facts: FactTable, timers: TimerService, domain: string) {
		this.#facts = facts;
		this.#timers = timers;
		this.#domain = domain;
		for (const fact of facts.list('member')) {
			this.#contacts.set(fact.key, {version: fact.version, receivedAt: timers.getNow()});
		}

		this.#unsubscribe = facts.subscribe(fact => {
			if (fact.kind === 'member') {
				this.#contacts.set(fact.key, {version: fact.version, receivedAt: timers.getNow()});
			}
		});
	}

	/** Lists what the domain's entries say of themselves. */
	list(): readonly MemberFact[] {
		return this.#facts.list('member').map(({value}) => value).filter(({domain}) => domain === this.#domain);
	}

	/** Finds what one VM's entry says of itself. */
	findMember(vm: string): MemberFact | undefined {
		return this.#facts.get('member', vm)?.value;
	}

	/** Asks whether a VM's entry was heard from within the last `withinMs` milliseconds. */
	isLive(vm: string, withinMs: number): boolean {
		const contact = this.#contacts.get(vm);
		return contact !== undefined && this.#timers.getNow() - contact.receivedAt < withinMs;
	}

	/** Ends the subscription. */
	close(): void {
		this.#unsubscribe();
	}
}
