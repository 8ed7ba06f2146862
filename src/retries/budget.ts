import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 5000;
/** Further attempts allowed for each answer that ended well lately. */
const retriesPerSuccess = 0.1;
/** Further attempts a second that a service with few successes may make all the same. */
const floorPerSecond = 0.5;
const floorBurst = 2;

type Account = {
	readonly successes: DecayedSum;
	readonly retries: DecayedSum;
	floor: number;
	floorAt: number;
};

/**
Bounds further attempts of each service to a fraction of its recent successes and a small floor, so that retries
can't grow with failures.

@example
```
if (budget.tryTake('contracts')) {
	// One more attempt.
}
```
*/
export class RetryBudget {
	readonly #timers: TimerService;
	readonly #accounts = new Map<string, Account>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Counts an answer that ended well. */
	onSuccess(service: string): void {
		this.#getAccount(service).successes.add(1, this.#timers.getNow());
	}

	/** Takes one attempt from the budget, if there is one. */
	tryTake(service: string): boolean {
		const now = this.#timers.getNow();
		const account = this.#getAccount(service);
		if (account.retries.get(now) + 1 <= account.successes.get(now) * retriesPerSuccess) {
			account.retries.add(1, now);
			return true;
		}

		account.floor = Math.min(floorBurst, account.floor + ((now - account.floorAt) * floorPerSecond / 1000));
		account.floorAt = now;
		if (account.floor < 1) {
			return false;
		}

		account.floor--;
		return true;
	}

	#getAccount(service: string): Account {
		let account = this.#accounts.get(service);
		if (!account) {
			account = {
				successes: new DecayedSum(halfLifeMs), retries: new DecayedSum(halfLifeMs), floor: floorBurst, floorAt: this.#timers.getNow(),
			};
			this.#accounts.set(service, account);
		}

		return account;
	}
}
