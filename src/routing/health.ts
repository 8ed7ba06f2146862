import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const firstBackoffMs = 500;
const longestBackoffMs = 15_000;
/** Failures in a row after which an upstream is left alone for a time. */
const failuresToBackOff = 2;
/** Answers in a row much slower than expected that count as failing. */
const slowToBackOff = 4;

type Health = {
	failures: number;
	slow: number;
	/** Monotonic time until which nothing is sent; 0 when healthy. */
	until: number;
	hasTrial: boolean;
};

/** Health of upstreams as this entry sees it: backoff with jitter, then a single trial request. */
export class HealthTable {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #table = new Map<string, Health>();

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	/** Says whether an upstream may be tried: it is healthy, or its backoff ended and no trial request is out. */
	isUsable(upstream: string): boolean {
		const health = this.#table.get(upstream);
		return !health || health.until === 0 || (this.#timers.getNow() >= health.until && !health.hasTrial);
	}

	/** Computes the time until an upstream may be tried again, in milliseconds. */
	computeWaitMs(upstream: string): number {
		return Math.max(0, (this.#table.get(upstream)?.until ?? 0) - this.#timers.getNow());
	}

	/** Marks that a request went out; to one that comes back it is the trial. */
	onSent(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health && health.until > 0) {
			health.hasTrial = true;
		}
	}

	/** Marks a request that ended well. */
	onSuccess(upstream: string): void {
		const health = this.#table.get(upstream);
		if (!health) {
			return;
		}

		health.hasTrial = false;
		if (health.slow < slowToBackOff) {
			this.#table.delete(upstream);
		}
	}

	/** Marks a request that ended without telling anything, such as a cancelled one. */
	onNeutral(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health) {
			health.hasTrial = false;
		}
	}

	/** Marks a failed request; the second in a row, and each failed trial, starts a longer backoff. */
	onFailure(upstream: string): void {
		const health = this.#get(upstream);
		health.failures++;
		health.hasTrial = false;
		if (health.failures >= failuresToBackOff || health.until > 0) {
			this.#startBackoff(health);
		}
	}

	/** Marks a first token that came in time, or one that came much later than its queue explains. */
	onFirstToken(upstream: string, isSlow: boolean): void {
		const known = this.#table.get(upstream);
		if (!isSlow) {
			if (known) {
				known.slow = 0;
			}

			return;
		}

		const health = this.#get(upstream);
		health.slow++;
		if (health.slow >= slowToBackOff) {
			health.hasTrial = false;
			this.#startBackoff(health);
		}
	}

	/** Drops what is known of upstreams that are not `kept`. */
	forget(kept: ReadonlySet<string>): void {
		for (const upstream of this.#table.keys()) {
			if (!kept.has(upstream)) {
				this.#table.delete(upstream);
			}
		}
	}

	#startBackoff(health: Health): void {
		const now = this.#timers.getNow();
		if (health.until > now) {
			return;
		}

		const steps = Math.max(0, Math.max(health.failures - failuresToBackOff, health.slow - slowToBackOff));
		const backoffMs = Math.min(longestBackoffMs, firstBackoffMs * (2 ** Math.min(steps, 10)));
		health.until = now + (backoffMs * this.#random.pickBetween(0.5, 1.5));
	}

	#get(upstream: string): Health {
		const health = this.#table.get(upstream) ?? {
			failures: 0, slow: 0, until: 0, hasTrial: false,
		};
		this.#table.set(upstream, health);
		return health;
	}
}
