import {DecayedSum} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** Half-life of the counts of successes and retries, in milliseconds. */
const halfLifeMs = 5000;
/** Retries allowed for each recent success. */
const retriesPerSuccess = 0.1;
/** Retries per second that a service may make even with few successes. */
const minRetriesPerSecond = 0.5;
/** Maximum number of these retries that a service can save up. */
const maxPermits = 2;

type ServiceAccount = {
	readonly successes: DecayedSum;
	readonly retries: DecayedSum;
	/** Saved retries of the minimum rate. */
	permits: number;
	permitsUpdatedAt: number;
};

/**
Limits the retries of each service to a share of its recent successes and a small minimum rate, so that retries can't
grow with failures.

@example
```
if (budget.tryTake('contracts')) {
	// Retry once.
}
```
*/
export class RetryBudget {
	readonly #timers: TimerService;
	readonly #accounts = new Map<string, ServiceAccount>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Counts a successful answer. */
	onSuccess(service: string): void {
		this.#getAccount(service).successes.add(1, this.#timers.getNow());
	}

	/** Takes one retry from the budget; returns whether there was one. */
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
