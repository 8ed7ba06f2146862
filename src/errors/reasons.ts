/** Why a request was refused; each value is a label of the refusals counter and a field of the error body. */
export const refusalReason = {
	unavailable: 'unavailable',
	deadline: 'deadline',
	callerLimit: 'caller_limit',
	fairShare: 'fair_share',
	queueFull: 'queue_full',
	overload: 'overload',
	draining: 'draining',
	storeDown: 'store_down',
	noUpstream: 'no_upstream',
	badRequest: 'bad_request',
	badResume: 'bad_resume',
	unknownModel: 'unknown_model',
	keyConflict: 'key_conflict',
	keyPending: 'key_pending',
	keyTableFull: 'key_table_full',
	retryBudget: 'retry_budget',
	noConfiguration: 'no_configuration',
	noRoute: 'no_route',
	upstreamFailed: 'upstream_failed',
	/** The request's prompt has blocks that crash engines. */
	quarantined: 'quarantined',
	/** All engines that could serve it have got as many requests as their limits allow. */
	limited: 'limited',
	/** The request carries no API key of a customer. */
	unknownKey: 'unknown_key',
	/** What this process knows of the configuration is so old that the request's key may have been revoked. */
	configurationStale: 'configuration_stale',
} as const;

/** See {@link refusalReason}. */
export type RefusalReason = (typeof refusalReason)[keyof typeof refusalReason];

/** Why a request was sent again; each value is a label of the retries counter. */
export const retryReason = {
	connectFailed: 'connect_failed',
	refusedNotRun: 'refused_not_run',
	brokenStream: 'broken_stream',
	silentStream: 'silent_stream',
	foreignAnswer: 'foreign_answer',
	closedBeforeSend: 'closed_before_send',
	repeatable: 'repeatable',
	/** Sent to a second engine before the first one answered. */
	hedged: 'hedged',
	storeConflict: 'store_conflict',
	upstreamFailed: 'upstream_failed',
	prefillFailed: 'prefill_failed',
} as const;

/** See {@link retryReason}. */
export type RetryReason = (typeof retryReason)[keyof typeof retryReason];
