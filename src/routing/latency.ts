import type {Backlog} from './engineestimate.js';
import type {EngineSpeeds} from './speeds.js';

/** Expected latency of a request at one engine, in milliseconds. */
export type LatencyEstimate = {
	/** Time from now to the first token. */
	readonly firstTokenMs: number;
	/** Time from now to the end of the answer. */
	readonly endMs: number;
	/** Time to the end of the answer if the engine were idle. */
	readonly unloadedMs: number;
	/** Time to the first token if the engine were idle. */
	readonly unloadedFirstTokenMs: number;
	/** Time between two tokens. */
	readonly tokenIntervalMs: number;
	/** Load of the engine before this request. */
	readonly backlog: Backlog;
	/** Prompt tokens to prefill, without those that are believed to be cached. */
	readonly prefillTokens: number;
	/** Whether the engine has no other request. */
	readonly isIdle: boolean;
};

/** What the latency of a request at an engine is estimated from. */
export type LatencyInput = {
	readonly backlog: Backlog;
	readonly speeds: EngineSpeeds;
	/** Prompt tokens to prefill. */
	readonly prefillTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
};

/** Share of the engine's KV cache in use above which a request waits for others to end. */
const maxKvUsedShare = 0.95;

/** Estimates how long a request takes at an engine until its first token and until its end. */
export function estimateLatency({backlog, speeds, prefillTokens, outputTokens}: LatencyInput): LatencyEstimate {
	const unloadedFirstTokenMs = speeds.prefill.intercept + (prefillTokens * speeds.prefill.slope);
	const queueMs = Math.max(backlog.prefillTokens * speeds.prefill.slope, backlog.longestWaitMs - (unloadedFirstTokenMs * 2), 0);
	const tokenIntervalMs = speeds.tokenInterval.intercept + (speeds.tokenInterval.slope * Math.min(speeds.slots, backlog.requestCount + 1));
	// A request that finds no free slot waits until enough earlier answers have ended.
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
