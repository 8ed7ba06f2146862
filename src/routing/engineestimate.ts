import type {LoadReport} from '../upstreams/index.js';
import type {Placement, RoutingRequest} from './types.js';

/** Minimum age of a load report when it is received, in milliseconds. */
const minReportAgeMs = 300;
/** Maximum number of ended requests whose times are kept. */
const maxEnded = 500;

/** One of this entry's requests in progress. Fields that end in `At` are monotonic times, in milliseconds. */
export type InFlightRequest = {
	readonly request: RoutingRequest;
	readonly placement: Placement;
	readonly sentAt: number;
	/** Prompt tokens to prefill, without those that are believed to be cached. */
	readonly prefillTokens: number;
	/** Estimated prompt tokens that were waiting to be prefilled at the engine when this request was sent. */
	readonly backlogTokens: number;
	/** Estimated requests that were in progress or waiting at the engine when this request was sent. */
	readonly backlogRequests: number;
	/** The part of `backlogTokens` that is certain: prompt tokens of this entry's requests at the engine that had no first token yet. */
	readonly localBacklogTokens: number;
	/** Estimated answers that the engine was decoding when the first token of this one arrived. */
	decodeCountAtFirstToken: number;
	/** Expected time from the send to the first token, in milliseconds. */
	readonly expectedFirstTokenMs: number;
	/** Expected time from the send to the end, in milliseconds. */
	readonly expectedEndMs: number;
	/** Time that the prefill takes on an idle engine, in milliseconds. */
	readonly expectedPrefillMs: number;
	firstTokenAt?: number;
	lastTokenAt: number;
	receivedTokens: number;
};

/** Load of an engine at one time, as this entry estimates it. */
export type Backlog = {
	/** Prompt tokens waiting to be prefilled. */
	readonly prefillTokens: number;
	/** Requests in progress or waiting. */
	readonly requestCount: number;
	/** Share of the KV cache in use, 0 to 1. */
	readonly kvUsedShare: number;
	/** How long the oldest of this entry's requests without a first token has waited, in milliseconds. */
	readonly longestWaitMs: number;
};

/**
Estimates the load of one engine: the last load report, corrected by what this entry has sent to the engine since then.
The other entries of the failure domain are assumed to have sent as much each.
*/
export class EngineEstimate {
	readonly #inFlight = new Set<InFlightRequest>();
	#report: {readonly value: LoadReport; readonly at: number} | undefined;
	#endedAt: number[] = [];

	/** Number of this entry's requests in progress. */
	get inFlightCount(): number {
		return this.#inFlight.size;
	}

	/** Prompt tokens of this entry's requests that have no first token yet. */
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

	/** Computes how many of the engine's `requestCount` requests are being decoded, assuming the same share as among this entry's requests. */
	computeDecodeCount(requestCount: number): number {
		let decodeCount = 0;
		for (const inFlightRequest of this.#inFlight) {
			decodeCount += inFlightRequest.firstTokenAt === undefined ? 0 : 1;
		}

		return decodeCount === 0 ? 0 : Math.max(decodeCount, decodeCount * requestCount / this.inFlightCount);
	}

	/** Handles a load report received at `now`. Returns whether the engine has restarted since the last report. */
	onReport(value: LoadReport, now: number): boolean {
		const isRestarted = this.#report !== undefined && this.#report.value.incarnation !== value.incarnation;
		this.#report = {value, at: now};
		this.#endedAt = this.#endedAt.filter(at => at > now - minReportAgeMs);
		return isRestarted;
	}

	/** Adds a request that this entry sends. */
	add(inFlightRequest: InFlightRequest): void {
		this.#inFlight.add(inFlightRequest);
	}

	/** Removes a request that ended at `now`. */
	remove(inFlightRequest: InFlightRequest, now: number): void {
		this.#inFlight.delete(inFlightRequest);
		this.#endedAt.push(now);
		if (this.#endedAt.length > maxEnded) {
			this.#endedAt.shift();
		}
	}

	/** Computes the load at `now` of an engine that prefills `prefillPerMs` tokens a millisecond and gets requests from `entries` entries. */
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
