import {refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';

const refusalMeanings = new Map<RefusalReason, string>([
	[refusalReason.unavailable, 'No upstream could be reached and nothing was run.'],
	[refusalReason.deadline, 'The work queued already would not let this request end by its deadline.'],
	[refusalReason.callerLimit, 'The caller asked for more requests or tokens a second than the text allows one caller.'],
	[refusalReason.fairShare, 'Under load the caller has had its share; others come first.'],
	[refusalReason.queueFull, 'The entry has as many requests as it holds.'],
	[refusalReason.draining, 'The entry or the upstream is on its way out and takes nothing new.'],
	[refusalReason.storeDown, 'The call may not be repeated and the store, which remembers what ran, does not answer.'],
	[refusalReason.noUpstream, 'No upstream of the service takes work: see crocus status.'],
	[refusalReason.badRequest, 'The request is malformed.'],
	[refusalReason.badResume, 'The id with which a stream was to be resumed is not valid.'],
	[refusalReason.unknownModel, 'No service of the text has that model or adapter.'],
	[refusalReason.keyConflict, 'The idempotency key was used before with another body.'],
	[refusalReason.keyPending, 'A call with the same idempotency key has not ended.'],
	[refusalReason.keyTableFull, 'The table of idempotency keys is full; old keys leave it in time.'],
	[refusalReason.retryBudget, 'Upstreams failed and the budget for further attempts is used up.'],
	[refusalReason.noConfiguration, 'The entry knows no configuration yet.'],
]);

/** Returns the meaning of a refusal reason, as a sentence for operators. */
export function explainRefusal(reason: RefusalReason): string {
	return refusalMeanings.get(reason) ?? `refused: ${reason}`;
}
