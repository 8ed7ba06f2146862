import type {FactTable, MemberFact} from '../feed/index.js';
import type {TimerService} from '../timers/index.js';

/** An entry not heard from for so long counts as gone, in milliseconds; word of other failure domains comes rarely. */
const localTimeoutMs = 5000;
const remoteTimeoutMs = 60_000;

/** Knows which entries were heard from of late, by this process's own clock at the receipt of their facts. */
export class LiveMembers {
	readonly #timers: TimerService;
	readonly #domain: string;
	readonly #lastReceivedAt = new Map<string, number>();

	constructor(facts: FactTable, timers: TimerService, domain: string) {
		this.#timers = timers;
		this.#domain = domain;
		facts.subscribe(fact => {
			if (fact.kind === 'member') {
				// The latest stands last, so that old ones are found in front.
				this.#lastReceivedAt.delete(fact.key);
				this.#lastReceivedAt.set(fact.key, timers.getNow());
				this.#evictOld();
			}
		});
	}

	/** Says whether a member was heard from within the bound of its failure domain. */
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
