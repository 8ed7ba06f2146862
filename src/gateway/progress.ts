import {retryReason} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';

/** Number of engines to which one request may fail to connect; such an engine has received nothing of it. */
const maxConnectFailures = 4;

/** Counts the attempts of one request by how they ended. */
export class RequestProgress {
	/** Number of engines that may have run the request. */
	runs = 0;
	/** Number of engines that could not be reached. */
	connectFailures = 0;

	/** Whether another engine may be tried after one that could not be reached: these attempts are not charged to the retry budget, so their number is limited. */
	get hasConnectTriesLeft(): boolean {
		return this.connectFailures < maxConnectFailures;
	}

	/** Counts an attempt that has ended. */
	countAttempt(attempt: Attempt): void {
		this.runs += attempt.isNotRun ? 0 : 1;
		this.connectFailures += attempt.isNotSent ? 1 : 0;
	}
}

/** Selects the reason for sending a request again; `reasonIfRun` is that for an engine that may have run it. */
export function selectRetryReason(attempt: Attempt, reasonIfRun: RetryReason): RetryReason {
	if (attempt.isNotSent) {
		return retryReason.connectFailed;
	}

	return attempt.isNotRun ? retryReason.refusedNotRun : reasonIfRun;
}
