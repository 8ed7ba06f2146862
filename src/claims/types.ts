/** State of a claimed call, as its record in the store has it. */
export const claimState = {
	/** Claimed; the call may be running. Reported as unknown from `due` on. */
	pending: 'pending',
	done: 'done',
	/** It can't be found out whether the call ran. */
	unknown: 'unknown',
	/** The call was proved not to have been sent; its key may be claimed again. */
	notRun: 'not_run',
} as const;

/** See {@link claimState}. */
export type ClaimState = (typeof claimState)[keyof typeof claimState];

/** The answer to a claimed call, stored so that a repeat of the call gets the same one. */
export type ClaimAnswer = {
	readonly status: number;
	/** Content type of the body. */
	readonly type: string;
	/** In base64; absent when the body was too large to store. */
	readonly body?: string;
};

/** A claim on an idempotency key, as the store holds it. */
export type ClaimRecord = {
	/** Hash of the service, the caller and the idempotency key. */
	readonly key: string;
	/** Hash of the call: its method, path and body. */
	readonly call: string;
	readonly state: ClaimState;
	/** Random id of the attempt that holds the claim. */
	readonly token: string;
	/** Wall time in milliseconds from which on a pending claim is reported as unknown. */
	readonly due: number;
	/** Wall time in milliseconds until which the record is kept at least. */
	readonly until: number;
	readonly answer?: ClaimAnswer;
};

/** A request to claim a key. */
export type ClaimRequest = Pick<ClaimRecord, 'key' | 'call' | 'token' | 'due' | 'until'>;

/** Result of a request to claim a key. */
export const claimResult = {
	/** The request holds the claim; its call may be sent. */
	taken: 'taken',
	/** The same call has been answered already. */
	done: 'done',
	/** The same call may have been sent, and it can't be found out whether it ran. */
	unknown: 'unknown',
	/** The same call is in progress. */
	pending: 'pending',
	/** The key was used for another call. */
	conflict: 'conflict',
	/** The bucket of the key has no room for another record. */
	full: 'full',
} as const;

/**
Decision on a request to claim a key. The call may be sent only if the result is `taken`; with any other, it is answered from
the decision.
*/
export type ClaimDecision =
	| {readonly result: 'taken' | 'unknown' | 'conflict' | 'full'}
	| {readonly result: 'done'; readonly answer: ClaimAnswer | undefined}
	| {readonly result: 'pending'; readonly retryAfterMs: number};

/** How a claimed call ended, with its answer if it was done. */
export type ClaimOutcome = {readonly state: 'done' | 'unknown' | 'not_run'; readonly answer?: ClaimAnswer};
