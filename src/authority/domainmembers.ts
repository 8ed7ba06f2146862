import type {FactTable, MemberFact} from '../feed/index.js';
import type {TimerService} from '../timers/index.js';

/** When something was last received from an entry, on the monotonic clock in milliseconds. */
type Contact = {readonly version: number; readonly receivedAt: number};

/** The entries of a failure domain, and when this process last received something from each. */
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

	/** Lists what the domain's entries publish about themselves. */
	list(): readonly MemberFact[] {
		return this.#facts.list('member').map(({value}) => value).filter(({domain}) => domain === this.#domain);
	}

	/** Finds what one VM's entry publishes about itself. */
	findMember(vm: string): MemberFact | undefined {
		return this.#facts.get('member', vm)?.value;
	}

	/** Whether something was received from a VM's entry within the last `withinMs` milliseconds. */
	isLive(vm: string, withinMs: number): boolean {
		const contact = this.#contacts.get(vm);
		return contact !== undefined && this.#timers.getNow() - contact.receivedAt < withinMs;
	}

	/** Ends the subscription to gossip facts. */
	close(): void {
		this.#unsubscribe();
	}
}
