import type {FactTable, MemberFact} from '../feed/index.js';
import type {TimerService} from '../timers/index.js';

/** An entry not heard from for so long counts as gone, in milliseconds; word of other failure domains comes rarely. */
const nearSilenceMs = 5000;
const farSilenceMs = 60_000;

/** Knows which entries were heard from of late, by this process's own clock at the receipt of their facts. */
export class HeardMembers {
	readonly #timers: TimerService;
	readonly #domain: string;
	readonly #heardAt = new Map<string, number>();

	constructor(facts: FactTable, timers: TimerService, domain: string) {
		this.#timers = timers;
		this.#domain = domain;
		facts.subscribe(fact => {
			if (fact.kind === 'member') {
				// The latest stands last, so that old ones are found in front.
				this.#heardAt.delete(fact.key);
				this.#heardAt.set(fact.key, timers.getNow());
				this.#forgetOld();
			}
		});
	}

	/** Says whether a member was heard from within the bound of its failure domain. */
	isHeard({vm, domain}: Pick<MemberFact, 'vm' | 'domain'>): boolean {
		const heardAt = this.#heardAt.get(vm);
		const boundMs = domain === this.#domain ? nearSilenceMs : farSilenceMs;
		return heardAt !== undefined && this.#timers.getNow() - heardAt < boundMs;
	}

	#forgetOld(): void {
		const now = this.#timers.getNow();
		for (const [vm, heardAt] of this.#heardAt) {
			if (now - heardAt < farSilenceMs) {
				return;
			}

			this.#heardAt.delete(vm);
		}
	}
}
