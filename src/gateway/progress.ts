import {retryReason} from '../errors/index.js';
import type {RetryReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';

/** Engines that one request may fail to reach; none of them was sent it. */
const maxConnectFailures = 4;

/** Counts the sends of one request by what came of them. */
export class RequestProgress {
	/** Engines that may have run it. */
	runs = 0;
	/** Engines that could not be reached. */
	connectFailures = 0;

	/** Whether one more engine may be tried after one that could not be reached: no budget bounds those, only their number. */
	get hasConnectTriesLeft(): boolean {
		return this.connectFailures < maxConnectFailures;
	}

	/** Counts a send that has ended. */
	countAttempt(attempt: Attempt): void {
		this.runs += attempt.isNotRun ? 0 : 1;
		this.connectFailures += attempt.isNotSent ? 1 : 0;
	}
}

/** Selects why a request is sent again; `reasonIfRun` where the engine may have run it. */
export function selectRetryReason(attempt: Attempt, reasonIfRun: RetryReason): RetryReason {
	if (attempt.isNotSent) {
		return retryReason.connectFailed;
	}

	return attempt.isNotRun ? retryReason.refusedNotRun : reasonIfRun;
}
