import type {Backlog} from './engineestimate.js';
import type {EngineSpeeds} from './speeds.js';

/** Expected times of a request at one engine, in milliseconds from now. */
export type LatencyEstimate = {
	readonly firstTokenMs: number;
	readonly endMs: number;
	/** Time that the request itself needs on an idle engine, and its part until the first token. */
	readonly unloadedMs: number;
	readonly unloadedFirstTokenMs: number;
	/** Expected time between two tokens. */
	readonly tokenIntervalMs: number;
	/** The load that it meets. */
	readonly backlog: Backlog;
	/** Its own prompt tokens without those thought to be cached. */
	readonly prefillTokens: number;
	readonly isIdle: boolean;
};

/** What an estimate is worked out from. */
export type LatencyInput = {
	readonly backlog: Backlog;
	readonly speeds: EngineSpeeds;
	/** Prompt tokens to process. */
	readonly prefillTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
};

/** Fullness of the KV pieces above which a request waits for others to end. */
const maxKvUsedShare = 0.95;

/** Works out when a request would have its first token and its end at an engine. */
export function estimateLatency({backlog, speeds, prefillTokens, outputTokens}: LatencyInput): LatencyEstimate {
	const unloadedFirstTokenMs = speeds.prefill.intercept + (prefillTokens * speeds.prefill.slope);
	const queueMs = Math.max(backlog.prefillTokens * speeds.prefill.slope, backlog.longestWaitMs - (unloadedFirstTokenMs * 2), 0);
	const tokenIntervalMs = speeds.tokenInterval.intercept + (speeds.tokenInterval.slope * Math.min(speeds.slots, backlog.requestCount + 1));
	// Answers beyond those written at the same time wait until enough of the earlier ones have ended.
	const slotWaitMs = Math.max(0, backlog.requestCount + 1 - speeds.slots) / speeds.slots * outputTokens * tokenIntervalMs;
	const kvWaitMs = backlog.kvUsedShare > maxKvUsedShare ? outputTokens * tokenIntervalMs / 2 : 0;
	const firstTokenMs = queueMs + Math.max(kvWaitMs, slotWaitMs) + unloadedFirstTokenMs;
	return {
		firstTokenMs,
		endMs: firstTokenMs + (outputTokens * tokenIntervalMs),
		unloadedMs: unloadedFirstTokenMs + (outputTokens * (speeds.tokenInterval.intercept + speeds.tokenInterval.slope)),
		unloadedFirstTokenMs,
		tokenIntervalMs,
		backlog,
		prefillTokens,
		isIdle: backlog.prefillTokens <= 0 && backlog.requestCount === 0,
	};
}
