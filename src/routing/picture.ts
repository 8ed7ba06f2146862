import type {LoadReport} from '../upstreams/index.js';
import type {Placement, Work} from './types.js';

/** How old a load report is when it is read, at the least, in milliseconds. */
const reportLagMs = 300;
const longestEnded = 500;

/** One of the entry's own requests in progress. */
export type Flight = {
	readonly work: Work;
	readonly placement: Placement;
	readonly sentAt: number;
	/** Prompt tokens that the engine has to process, without those thought to be cached. */
	readonly prefillTokens: number;
	/** Prompt tokens thought to be ahead of it, and answers in progress, when it was sent. */
	readonly aheadTokens: number;
	readonly aheadRunning: number;
	/** Prompt tokens of the entry's own requests that were certainly ahead of it. */
	readonly ownAheadTokens: number;
	/** Answers being written when the first token came. */
	activeAtFirst: number;
	/** Expected time to the first token and to the end, in milliseconds. */
	readonly expectedFirstMs: number;
	readonly expectedEndMs: number;
	/** Part of the time to the first token that the prefill takes on an idle engine. */
	readonly expectedPrefillMs: number;
	firstAt?: number;
	lastAt: number;
	tokens: number;
};

/** Load of an engine as an entry can know it at one moment. */
export type Backlog = {
	/** Prompt tokens waiting to be processed. */
	readonly prefillTokens: number;
	/** Answers in progress or waiting. */
	readonly running: number;
	/** Share of the KV pieces in use. */
	readonly fullness: number;
	/** How long the entry's oldest request without a first token has waited, in milliseconds. */
	readonly oldestMs: number;
};

/**
What this entry knows of one engine: the last load report, corrected by the entry's own requests since then and
by what the domain's other entries will have sent if they send as this one does.
*/
export class EnginePicture {
	readonly #flights = new Set<Flight>();
	#report: {readonly value: LoadReport; readonly at: number} | undefined;
	#endedAt: number[] = [];

	/** Number of the entry's own requests in progress. */
	get running(): number {
		return this.#flights.size;
	}

	/** Prompt tokens of the entry's own requests that wait for their first token. */
	get pendingTokens(): number {
		let tokens = 0;
		for (const flight of this.#flights) {
			tokens += flight.firstAt === undefined ? flight.prefillTokens : 0;
		}

		return tokens;
	}

	/** The last load report. */
	get report(): LoadReport | undefined {
		return this.#report?.value;
	}

	/** Computes how many answers the engine writes at this time, from this entry's part of them. */
	computeActive(running: number): number {
		let active = 0;
		for (const flight of this.#flights) {
			active += flight.firstAt === undefined ? 0 : 1;
		}

		return active === 0 ? 0 : Math.max(active, active * running / this.running);
	}

	/** Takes in a load report that came at `now`, and says whether the engine started anew since the last. */
	onReport(value: LoadReport, now: number): boolean {
		const isNew = this.#report !== undefined && this.#report.value.incarnation !== value.incarnation;
		this.#report = {value, at: now};
		this.#endedAt = this.#endedAt.filter(at => at > now - reportLagMs);
		return isNew;
	}

	/** Adds one of the entry's own requests. */
	add(flight: Flight): void {
		this.#flights.add(flight);
	}

	/** Removes one that ended. */
	remove(flight: Flight, now: number): void {
		this.#flights.delete(flight);
		this.#endedAt.push(now);
		if (this.#endedAt.length > longestEnded) {
			this.#endedAt.shift();
		}
	}

	/** Computes the load at `now`, where the engine processes `prefillPerMs` and `entries` entries send to it. */
	computeBacklog(now: number, prefillPerMs: number, entries: number): Backlog {
		const own = this.#computeOwn(now);
		const report = this.#report;
		if (!report) {
			return {
				prefillTokens: own.pendingTokens * entries, running: this.running * entries, fullness: 0, oldestMs: own.oldestMs,
			};
		}

		const ageMs = now - report.at + reportLagMs;
		const sentByAll = own.sentTokens * entries;
		const processed = ageMs * prefillPerMs;
		const {value} = report;
		const runningNow = value.running + value.waiting + ((own.sentCount - this.#countEnded(report.at)) * entries);
		return {
			prefillTokens: Math.max(own.pendingTokens, value.prefillTokens + sentByAll - processed),
			running: Math.max(this.running, runningNow),
			fullness: value.pieces > 0 ? value.piecesUsed / value.pieces : 0,
			oldestMs: own.oldestMs,
		};
	}

	#computeOwn(now: number) {
		const since = (this.#report?.at ?? now) - reportLagMs;
		let pendingTokens = 0;
		let sentTokens = 0;
		let sentCount = 0;
		let oldestMs = 0;
		for (const flight of this.#flights) {
			if (flight.firstAt === undefined) {
				pendingTokens += flight.prefillTokens;
				oldestMs = Math.max(oldestMs, now - flight.sentAt);
			}

			if (flight.sentAt > since) {
				sentTokens += flight.prefillTokens;
				sentCount++;
			}
		}

		return {
			pendingTokens, sentTokens, sentCount, oldestMs,
		};
	}

	#countEnded(reportAt: number): number {
		let count = 0;
		for (const at of this.#endedAt) {
			count += at > reportAt - reportLagMs ? 1 : 0;
		}

		return count;
	}
}
