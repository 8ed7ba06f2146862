import type {LoadReport} from '../upstreams/index.js';
import type {Placement, RoutingRequest} from './types.js';

/** How old a load report is when it is read, at the least, in milliseconds. */
const minReportAgeMs = 300;
const maxEnded = 500;

/** One of the entry's own requests in progress. */
export type InFlightRequest = {
	readonly request: RoutingRequest;
	readonly placement: Placement;
	readonly sentAt: number;
	/** Prompt tokens that the engine has to process, without those thought to be cached. */
	readonly prefillTokens: number;
	/** Prompt tokens thought to be ahead of it, and answers in progress, when it was sent. */
	readonly backlogTokens: number;
	readonly backlogRequests: number;
	/** Prompt tokens of the entry's own requests that were certainly ahead of it. */
	readonly localBacklogTokens: number;
	/** Answers being written when the first token came. */
	decodeCountAtFirstToken: number;
	/** Expected time to the first token and to the end, in milliseconds. */
	readonly expectedFirstTokenMs: number;
	readonly expectedEndMs: number;
	/** Part of the time to the first token that the prefill takes on an idle engine. */
	readonly expectedPrefillMs: number;
	firstTokenAt?: number;
	lastTokenAt: number;
	receivedTokens: number;
};

/** Load of an engine as an entry can know it at one moment. */
export type Backlog = {
	/** Prompt tokens waiting to be processed. */
	readonly prefillTokens: number;
	/** Answers in progress or waiting. */
	readonly requestCount: number;
	/** Share of the KV pieces in use. */
	readonly kvUsedShare: number;
	/** How long the entry's oldest request without a first token has waited, in milliseconds. */
	readonly longestWaitMs: number;
};

/**
What this entry knows of one engine: the last load report, corrected by the entry's own requests since then and
by what the domain's other entries will have sent if they send as this one does.
*/
export class EngineEstimate {
	readonly #inFlight = new Set<InFlightRequest>();
	#report: {readonly value: LoadReport; readonly at: number} | undefined;
	#endedAt: number[] = [];

	/** Number of the entry's own requests in progress. */
	get inFlightCount(): number {
		return this.#inFlight.size;
	}

	/** Prompt tokens of the entry's own requests that wait for their first token. */
	get pendingTokens(): number {
		let tokens = 0;
		for (const inFlightRequest of this.#inFlight) {
			tokens += inFlightRequest.firstTokenAt === undefined ? inFlightRequest.prefillTokens : 0;
		}

		return tokens;
	}

	/** The last load report. */
	get report(): LoadReport | undefined {
		return this.#report?.value;
	}

	/** Computes how many answers the engine writes at this time, from this entry's part of them. */
	computeDecodeCount(requestCount: number): number {
		let decodeCount = 0;
		for (const inFlightRequest of this.#inFlight) {
			decodeCount += inFlightRequest.firstTokenAt === undefined ? 0 : 1;
		}

		return decodeCount === 0 ? 0 : Math.max(decodeCount, decodeCount * requestCount / this.inFlightCount);
	}

	/** Takes in a load report that came at `now`, and says whether the engine started anew since the last. */
	onReport(value: LoadReport, now: number): boolean {
		const isRestarted = this.#report !== undefined && this.#report.value.incarnation !== value.incarnation;
		this.#report = {value, at: now};
		this.#endedAt = this.#endedAt.filter(at => at > now - minReportAgeMs);
		return isRestarted;
	}

	/** Adds one of the entry's own requests. */
	add(inFlightRequest: InFlightRequest): void {
		this.#inFlight.add(inFlightRequest);
	}

	/** Removes one that ended. */
	remove(inFlightRequest: InFlightRequest, now: number): void {
		this.#inFlight.delete(inFlightRequest);
		this.#endedAt.push(now);
		if (this.#endedAt.length > maxEnded) {
			this.#endedAt.shift();
		}
	}

	/** Computes the load at `now`, where the engine processes `prefillPerMs` and `entries` entries send to it. */
	computeBacklog(now: number, prefillPerMs: number, entries: number): Backlog {
		const local = this.#computeLocal(now);
		const report = this.#report;
		if (!report) {
			return {
				prefillTokens: local.pendingTokens * entries, requestCount: this.inFlightCount * entries, kvUsedShare: 0, longestWaitMs: local.longestWaitMs,
			};
		}

		const ageMs = now - report.at + minReportAgeMs;
		const sentByAllTokens = local.sentTokens * entries;
		const processedTokens = ageMs * prefillPerMs;
		const {value} = report;
		const requestCount = value.running + value.waiting + ((local.sentCount - this.#countEnded(report.at)) * entries);
		return {
			prefillTokens: Math.max(local.pendingTokens, value.prefillTokens + sentByAllTokens - processedTokens),
			requestCount: Math.max(this.inFlightCount, requestCount),
			kvUsedShare: value.pieces > 0 ? value.piecesUsed / value.pieces : 0,
			longestWaitMs: local.longestWaitMs,
		};
	}

	#computeLocal(now: number) {
		const since = (this.#report?.at ?? now) - minReportAgeMs;
		let pendingTokens = 0;
		let sentTokens = 0;
		let sentCount = 0;
		let longestWaitMs = 0;
		for (const inFlightRequest of this.#inFlight) {
			if (inFlightRequest.firstTokenAt === undefined) {
				pendingTokens += inFlightRequest.prefillTokens;
				longestWaitMs = Math.max(longestWaitMs, now - inFlightRequest.sentAt);
			}

			if (inFlightRequest.sentAt > since) {
				sentTokens += inFlightRequest.prefillTokens;
				sentCount++;
			}
		}

		return {
			pendingTokens, sentTokens, sentCount, longestWaitMs,
		};
	}

	#countEnded(reportAt: number): number {
		let count = 0;
		for (const at of this.#endedAt) {
			count += at > reportAt - minReportAgeMs ? 1 : 0;
		}

		return count;
	}
}
