import type {TimerService} from '../timers/index.js';

/** The bound on sends beyond the first of each request, over all entries together. */
export type ArrivalBound = {
	/** Further sends allowed for each request. */
	readonly ratio: number;
	/** Sliding window over which both are counted, in milliseconds. */
	readonly windowMs: number;
};

const slices = 10;
/** Part of the bound that is used: windows of the entries and of the judge of the bound are not aligned. */
const usedShare = 0.8;
/** Further sends in a window that an entry may make without requests: small beside the slack that the bound gives an entry. */
const floor = 2;

type Account = {readonly requests: number[]; readonly extras: number[]; slice: number};

/**
Bounds sends beyond the first of each request, service by service, by what this entry alone was asked. Entries need not
talk: if each keeps to its own requests, their sum keeps to the sum.
*/
export class ArrivalBudget {
	readonly #timers: TimerService;
	#bound: ArrivalBound;
	readonly #accounts = new Map<string, Account>();

	constructor(timers: TimerService, bound: ArrivalBound) {
		this.#timers = timers;
		this.#bound = bound;
	}

	/** Puts another bound into force. */
	setBound(bound: ArrivalBound): void {
		if (bound.windowMs !== this.#bound.windowMs) {
			this.#accounts.clear();
		}

		this.#bound = bound;
	}

	/** Counts a request that a caller sent. */
	countRequest(service: string): void {
		const account = this.#getAccount(service);
		account.requests[account.slice % slices] = (account.requests[account.slice % slices] ?? 0) + 1;
	}

	/** Takes one further send, if the bound allows it. */
	tryTake(service: string): boolean {
		const account = this.#getAccount(service);
		const allowed = floor + (computeSum(account.requests) * this.#bound.ratio * usedShare);
		if (computeSum(account.extras) + 1 > allowed) {
			return false;
		}

		account.extras[account.slice % slices] = (account.extras[account.slice % slices] ?? 0) + 1;
		return true;
	}

	#getAccount(service: string): Account {
		const slice = Math.floor(this.#timers.getNow() / (this.#bound.windowMs / slices));
		let account = this.#accounts.get(service);
		if (!account) {
			account = {requests: Array.from({length: slices}, () => 0), extras: Array.from({length: slices}, () => 0), slice};
			this.#accounts.set(service, account);
		}

		for (let passed = Math.max(account.slice + 1, slice - slices + 1); passed <= slice; passed++) {
			account.requests[passed % slices] = 0;
			account.extras[passed % slices] = 0;
		}

		account.slice = slice;
		return account;
	}
}

function computeSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
