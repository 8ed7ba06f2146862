import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

const minBackoffMs = 500;
const maxBackoffMs = 15_000;
/** Failures in a row after which an upstream is left alone for a time. */
const failuresToBackOff = 2;
/** Answers in a row much slower than expected that count as failing. */
const slowAnswersToBackOff = 4;

type UpstreamHealth = {
	failures: number;
	slowAnswers: number;
	/** Monotonic time until which nothing is sent; 0 when healthy. */
	backoffUntil: number;
	isProbing: boolean;
};

/** Health of upstreams as this entry sees it: backoff with jitter, then a single trial request. */
export class HealthTable {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #table = new Map<string, UpstreamHealth>();

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	/** Says whether an upstream may be tried: it is healthy, or its backoff ended and no trial request is out. */
	isAvailable(upstream: string): boolean {
		const health = this.#table.get(upstream);
		return !health || health.backoffUntil === 0 || (this.#timers.getNow() >= health.backoffUntil && !health.isProbing);
	}

	/** Computes the time until an upstream may be tried again, in milliseconds. */
	computeBackoffLeftMs(upstream: string): number {
		return Math.max(0, (this.#table.get(upstream)?.backoffUntil ?? 0) - this.#timers.getNow());
	}

	/** Marks that a request went out; to one that comes back it is the trial. */
	onSent(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health && health.backoffUntil > 0) {
			health.isProbing = true;
		}
	}

	/** Marks a request that ended well. */
	onSuccess(upstream: string): void {
		const health = this.#table.get(upstream);
		if (!health) {
			return;
		}

		health.isProbing = false;
		if (health.slowAnswers < slowAnswersToBackOff) {
			this.#table.delete(upstream);
		}
	}

	/** Marks a request that ended without telling anything, such as a cancelled one. */
	onInconclusive(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health) {
			health.isProbing = false;
		}
	}

	/** Marks a failed request; the second in a row, and each failed trial, starts a longer backoff. */
	onFailure(upstream: string): void {
		const health = this.#get(upstream);
		health.failures++;
		health.isProbing = false;
		if (health.failures >= failuresToBackOff || health.backoffUntil > 0) {
			this.#startBackoff(health);
		}
	}

	/** Marks a first token that came in time, or one that came much later than its queue explains. */
	onFirstToken(upstream: string, isSlow: boolean): void {
		const known = this.#table.get(upstream);
		if (!isSlow) {
			if (known) {
				known.slowAnswers = 0;
			}

			return;
		}

		const health = this.#get(upstream);
		health.slowAnswers++;
		if (health.slowAnswers >= slowAnswersToBackOff) {
			health.isProbing = false;
			this.#startBackoff(health);
		}
	}

	/** Drops what is known of upstreams that are not `kept`. */
	prune(knownUpstreams: ReadonlySet<string>): void {
		for (const upstream of this.#table.keys()) {
			if (!knownUpstreams.has(upstream)) {
				this.#table.delete(upstream);
			}
		}
	}

	#startBackoff(health: UpstreamHealth): void {
		const now = this.#timers.getNow();
		if (health.backoffUntil > now) {
			return;
		}

		const doublings = Math.max(0, Math.max(health.failures - failuresToBackOff, health.slowAnswers - slowAnswersToBackOff));
		const backoffMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** Math.min(doublings, 10)));
		health.backoffUntil = now + (backoffMs * this.#random.pickBetween(0.5, 1.5));
	}

	#get(upstream: string): UpstreamHealth {
		const health = this.#table.get(upstream) ?? {
			failures: 0, slowAnswers: 0, backoffUntil: 0, isProbing: false,
		};
		this.#table.set(upstream, health);
		return health;
	}
}
