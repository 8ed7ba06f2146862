import {DecayedSum} from '../rates/index.js';

/** Half-life of what counts as recent, in milliseconds: about that of a burst, so that a customer that was quiet for some time is served like the others again. */
const halfLifeMs = 8000;
/** Maximum number of customers that are kept; the one that has asked least recently is dropped. */
const maxCustomers = 1024;
/** Number of recent requests from which a customer counts for an equal share. */
const minActiveRequests = 0.25;
/** Recent work relative to an equal share above which a customer's requests yield; each doubling of it is a further rank. */
const maxFairExcess = 1.5;
/**
Share of the part of all requests that is granted, below which a customer's requests don't yield: no customer may be served less than a quarter as often as all.
Twice that, as refused callers send again and are counted again.
*/
const minServedRatio = 0.5;
/** Number of recent requests from which a customer's granted part says something. */
const minMeasuredRequests = 3;
/** Age up to which a rank and the number of active customers are used again, in milliseconds. */
const maxRankAgeMs = 20;
const maxCountAgeMs = 100;

type CustomerWork = {
	readonly asked: DecayedSum;
	readonly granted: DecayedSum;
	readonly work: DecayedSum;
	rank: number;
	rankedAt: number;
};

function createWork(): CustomerWork {
	return {
		asked: new DecayedSum(halfLifeMs), granted: new DecayedSum(halfLifeMs), work: new DecayedSum(halfLifeMs), rank: 0, rankedAt: Number.NEGATIVE_INFINITY,
	};
}

/**
Knows how much work each customer of one service has received recently, and which customers' requests yield under shortage: those of
customers that got more than an equal share. Made for hundreds of requests a second of a hundred customers, some of which send more than half of all
requests; at most {@link maxCustomers} are kept. It does no I/O. Times are monotonic, in milliseconds.
*/
export class CustomerShares {
	readonly #customers = new Map<string, CustomerWork>();
	readonly #total = createWork();
	#activeCount = 0;
	#countedAt = Number.NEGATIVE_INFINITY;

	/** Number of customers that are kept. */
	get size(): number {
		return this.#customers.size;
	}

	/** Records that a customer asks for one request to be served. Requests without a customer count as those of one. */
	onRequest(customer: string | undefined, now: number): void {
		const name = customer ?? '';
		const known = this.#customers.get(name) ?? createWork();
		known.asked.add(1, now);
		this.#total.asked.add(1, now);
		this.#customers.delete(name);
		this.#customers.set(name, known);
		if (this.#customers.size > maxCustomers) {
			this.#customers.delete(this.#customers.keys().next().value!);
		}
	}

	/** Records that a customer's request is served; `work` is what it costs, in any unit that is the same for all. */
	onGrant(customer: string | undefined, work: number, now: number): void {
		for (const entry of [this.#customers.get(customer ?? ''), this.#total]) {
			entry?.granted.add(1, now);
			entry?.work.add(work, now);
			if (entry) {
				entry.rankedAt = Number.NEGATIVE_INFINITY;
			}
		}
	}

	/** Computes the rank of a customer's requests: those of a higher rank yield to those of a lower one. 0 for all when there is one customer, or none. */
	computeRank(customer: string | undefined, now: number): number {
		const entry = this.#customers.get(customer ?? '');
		if (!entry || this.#customers.size < 2) {
			return 0;
		}

		if (now - entry.rankedAt >= maxRankAgeMs) {
			entry.rank = this.#decideRank(entry, now);
			entry.rankedAt = now;
		}

		return entry.rank;
	}

	#decideRank({asked, granted, work}: CustomerWork, now: number): number {
		const totalWork = this.#total.work.get(now);
		const excess = totalWork > 0 ? work.get(now) * this.#countActive(now) / totalWork : 0;
		if (excess <= maxFairExcess || this.#isStarving(asked.get(now), granted.get(now), now)) {
			return 0;
		}

		return 1 + Math.floor(Math.log2(excess / maxFairExcess));
	}

	#isStarving(asked: number, granted: number, now: number): boolean {
		const grantedPart = this.#total.granted.get(now) / Math.max(1, this.#total.asked.get(now));
		return asked >= minMeasuredRequests && granted / asked < grantedPart * minServedRatio;
	}

	#countActive(now: number): number {
		if (now - this.#countedAt >= maxCountAgeMs) {
			this.#countedAt = now;
			this.#activeCount = 0;
			for (const {asked} of this.#customers.values()) {
				this.#activeCount += asked.get(now) >= minActiveRequests ? 1 : 0;
			}
		}

		return this.#activeCount;
	}
}
