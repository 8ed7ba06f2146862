import type {Backlog} from './picture.js';
import type {Speeds} from './speeds.js';

/** Expected times of a request at one engine, in milliseconds from now. */
export type Estimate = {
	readonly firstMs: number;
	readonly endMs: number;
	/** Time that the request itself needs on an idle engine, and its part until the first token. */
	readonly aloneMs: number;
	readonly aloneFirstMs: number;
	/** Expected time between two tokens. */
	readonly gapMs: number;
	/** The load that it meets. */
	readonly ahead: Backlog;
	/** Its own prompt tokens without those thought to be cached. */
	readonly prefillTokens: number;
	readonly isIdle: boolean;
};

/** What an estimate is worked out from. */
export type EstimateFacts = {
	readonly backlog: Backlog;
	readonly speeds: Speeds;
	/** Prompt tokens to process. */
	readonly prefillTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
};

/** Fullness of the KV pieces above which a request waits for others to end. */
const fullPieces = 0.95;

/** Works out when a request would have its first token and its end at an engine. */
export function computeEstimate({backlog, speeds, prefillTokens, outputTokens}: EstimateFacts): Estimate {
	const aloneFirstMs = speeds.prefill.intercept + (prefillTokens * speeds.prefill.slope);
	const queueMs = Math.max(backlog.prefillTokens * speeds.prefill.slope, backlog.oldestMs - (aloneFirstMs * 2), 0);
	const gapMs = speeds.gap.intercept + (speeds.gap.slope * Math.min(speeds.slots, backlog.running + 1));
	// Answers beyond those written at the same time wait until enough of the earlier ones have ended.
	const slotMs = Math.max(0, backlog.running + 1 - speeds.slots) / speeds.slots * outputTokens * gapMs;
	const roomMs = backlog.fullness > fullPieces ? outputTokens * gapMs / 2 : 0;
	const firstMs = queueMs + Math.max(roomMs, slotMs) + aloneFirstMs;
	return {
		firstMs,
		endMs: firstMs + (outputTokens * gapMs),
		aloneMs: aloneFirstMs + (outputTokens * (speeds.gap.intercept + speeds.gap.slope)),
		aloneFirstMs,
		gapMs,
		ahead: backlog,
		prefillTokens,
		isIdle: backlog.prefillTokens <= 0 && backlog.running === 0,
	};
}
