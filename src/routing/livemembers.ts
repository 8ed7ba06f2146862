import type {FactTable, MemberFact} from '../feed/index.js';
import type {TimerService} from '../timers/index.js';

/** Time without a fact after which an entry of the same failure domain counts as gone, in milliseconds. */
const localTimeoutMs = 5000;
/** The same for entries of other failure domains, whose facts arrive less often. */
const remoteTimeoutMs = 60_000;

/** Which entries are live: those whose member fact was received lately, by the clock of this process. */
export class LiveMembers {
	readonly #timers: TimerService;
	readonly #domain: string;
	readonly #lastReceivedAt = new Map<string, number>();

	constructor(facts: FactTable, timers: TimerService, domain: string) {
		this.#timers = timers;
		this.#domain = domain;
		facts.subscribe(fact => {
			if (fact.kind === 'member') {
				// The most recent entry is last, so that old ones are found first.
				this.#lastReceivedAt.delete(fact.key);
				this.#lastReceivedAt.set(fact.key, timers.getNow());
				this.#evictOld();
			}
		});
	}

	/** Tells whether a fact of the entry was received within the timeout of its failure domain. */
	isLive({vm, domain}: Pick<MemberFact, 'vm' | 'domain'>): boolean {
		const lastReceivedAt = this.#lastReceivedAt.get(vm);
		const timeoutMs = domain === this.#domain ? localTimeoutMs : remoteTimeoutMs;
		return lastReceivedAt !== undefined && this.#timers.getNow() - lastReceivedAt < timeoutMs;
	}

	#evictOld(): void {
		const now = this.#timers.getNow();
		for (const [vm, lastReceivedAt] of this.#lastReceivedAt) {
			if (now - lastReceivedAt < remoteTimeoutMs) {
				return;
			}

			this.#lastReceivedAt.delete(vm);
		}
	}
}
