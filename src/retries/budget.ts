import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const halfLifeMs = 5000;
/** Further attempts allowed for each answer that ended well lately. */
const retriesPerSuccess = 0.1;
/** Further attempts a second that a service with few successes may make all the same. */
const minRetriesPerSecond = 0.5;
const maxPermits = 2;

type ServiceAccount = {
	readonly successes: DecayedSum;
	readonly retries: DecayedSum;
	permits: number;
	permitsUpdatedAt: number;
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
	readonly #accounts = new Map<string, ServiceAccount>();

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

		account.permits = Math.min(maxPermits, account.permits + ((now - account.permitsUpdatedAt) * minRetriesPerSecond / 1000));
		account.permitsUpdatedAt = now;
		if (account.permits < 1) {
			return false;
		}

		account.permits--;
		return true;
	}

	#getAccount(service: string): ServiceAccount {
		let account = this.#accounts.get(service);
		if (!account) {
			account = {
				successes: new DecayedSum(halfLifeMs), retries: new DecayedSum(halfLifeMs), permits: maxPermits, permitsUpdatedAt: this.#timers.getNow(),
			};
			this.#accounts.set(service, account);
		}

		return account;
	}
}
