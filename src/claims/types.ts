/** What a record says of its call. */
export const claimState = {
	/** Claimed; it may be running, until its deadline makes it unknown. */
	pending: 'pending',
	done: 'done',
	unknown: 'unknown',
	/** Proved not to have been sent; the key may be claimed again. */
	notRun: 'not_run',
} as const;

/** See {@link claimState}. */
export type ClaimState = (typeof claimState)[keyof typeof claimState];

/** A small answer, kept so that a repeat gets the same one. */
export type ClaimAnswer = {
	readonly status: number;
	readonly type: string;
	/** In base64; absent when it was too large to be kept. */
	readonly body?: string;
};

/** A claim on an idempotency key, as the store holds it. */
export type ClaimRecord = {
	/** Hash of service, caller and key. */
	readonly key: string;
	/** Hash of the call: method, path and body. */
	readonly call: string;
	readonly state: ClaimState;
	/** Names the attempt that holds the claim. */
	readonly token: string;
	/** Wall clock, in milliseconds: from then on a pending claim is reported as unknown. */
	readonly due: number;
	/** Wall clock, in milliseconds: kept at least until then. */
	readonly until: number;
	readonly answer?: ClaimAnswer;
};

/** A claim that is asked for. */
export type ClaimRequest = Pick<ClaimRecord, 'key' | 'call' | 'token' | 'due' | 'until'>;

/** How an ask was decided. */
export const claimResult = {
	taken: 'taken',
	done: 'done',
	unknown: 'unknown',
	pending: 'pending',
	conflict: 'conflict',
	full: 'full',
} as const;

/** What is decided of an ask: only `taken` lets the call be sent. */
export type ClaimDecision =
	| {readonly result: 'taken' | 'unknown' | 'conflict' | 'full'}
	| {readonly result: 'done'; readonly answer: ClaimAnswer | undefined}
	| {readonly result: 'pending'; readonly retryAfterMs: number};

/** How a claimed call ended. */
export type ClaimOutcome = {readonly state: 'done' | 'unknown' | 'not_run'; readonly answer?: ClaimAnswer};
