import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** First backoff, in milliseconds; it doubles with each further failure. */
const minBackoffMs = 500;
const maxBackoffMs = 15_000;
/** Consecutive failures after which an upstream gets no requests for a backoff. */
const failuresToBackOff = 2;
/** Consecutive first tokens much slower than expected after which an upstream gets no requests for a backoff. */
const slowAnswersToBackOff = 4;

type UpstreamHealth = {
	failures: number;
	slowAnswers: number;
	/** Monotonic time until which nothing is sent, in milliseconds; 0 when healthy. */
	backoffUntil: number;
	/** Whether a trial request is in progress. */
	isProbing: boolean;
};

/** Circuit breakers of the upstreams, by the results of this entry's requests: backoff with jitter, then one trial request at a time. */
export class HealthTable {
	readonly #timers: TimerService;
	readonly #random: RandomSource;
	readonly #table = new Map<string, UpstreamHealth>();

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	/** Tells whether an upstream may get a request: it is healthy, or its backoff has ended and no trial request is in progress. */
	isAvailable(upstream: string): boolean {
		const health = this.#table.get(upstream);
		return !health || health.backoffUntil === 0 || (this.#timers.getNow() >= health.backoffUntil && !health.isProbing);
	}

	/** Computes the time until an upstream's backoff ends, in milliseconds; 0 when it has none. */
	computeBackoffLeftMs(upstream: string): number {
		return Math.max(0, (this.#table.get(upstream)?.backoffUntil ?? 0) - this.#timers.getNow());
	}

	/** Records that a request was sent. To an upstream whose backoff has ended it is the trial request. */
	onSent(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health && health.backoffUntil > 0) {
			health.isProbing = true;
		}
	}

	/** Records a complete answer. */
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

	/** Records that a request ended without telling anything of the upstream, such as a cancelled one. */
	onInconclusive(upstream: string): void {
		const health = this.#table.get(upstream);
		if (health) {
			health.isProbing = false;
		}
	}

	/** Records a failed request. The second consecutive failure starts a backoff, and each failed trial request a longer one. */
	onFailure(upstream: string): void {
		const health = this.#get(upstream);
		health.failures++;
		health.isProbing = false;
		if (health.failures >= failuresToBackOff || health.backoffUntil > 0) {
			this.#startBackoff(health);
		}
	}

	/** Records a first token; `isSlow` when it took much longer than expected with the requests that were queued before it. */
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

	/** Forgets all upstreams but the known ones. */
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
