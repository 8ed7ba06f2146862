const millisecondsPerSecond = 1000;

/** A connection that holds bytes which can be given up: an incomplete body, an incomplete head or unread answers. */
export type Holder = {
	readonly heldBytes: number;
	/** Monotonic time since which it has been waited for its client, in milliseconds. */
	readonly waitingSince: number;
};

/** Share of the excess that is given up besides, so that the next bytes do not lead to the same search. */
const extraShare = 0.5;

/**
Selects the holders that are refused so that at least `excessBytes` become free: those that hold most and are waited for longest first. Sorting some
thousands of connections takes about a millisecond, and what is given up beyond the excess makes it rare.
*/
export function selectRefused<Candidate extends Holder>(candidates: readonly Candidate[], excessBytes: number, now: number): Candidate[] {
	const computeCost = ({heldBytes, waitingSince}: Candidate) => heldBytes * (now - waitingSince + 1);
	const selected: Candidate[] = [];
	let remainingBytes = excessBytes * (1 + extraShare);
	for (const candidate of [...candidates].sort((first, second) => computeCost(second) - computeCost(first))) {
		if (remainingBytes <= 0) {
			break;
		}

		selected.push(candidate);
		remainingBytes -= candidate.heldBytes;
	}

	return selected;
}

/** A connection that may be closed because there are too many. */
export type IdleConnection = {
	/** Whether no request on it is in progress. */
	readonly isIdle: boolean;
	/** Monotonic time of the latest answer, or of the opening, in milliseconds. */
	readonly idleSince: number;
};

/** Chooses the connection that has been idle for longest; `undefined` when none is idle. */
export function chooseIdle<Candidate extends IdleConnection>(candidates: Iterable<Candidate>): Candidate | undefined {
	let chosen: Candidate | undefined;
	for (const candidate of candidates) {
		if (candidate.isIdle && (!chosen || candidate.idleSince < chosen.idleSince)) {
			chosen = candidate;
		}
	}

	return chosen;
}

/** When a body began to arrive, and its latest bytes; monotonic, in milliseconds. */
export type BodyTimes = {readonly startedAt: number; readonly receivedAt: number; readonly receivedBytes: number};

/**
Tells whether a body is not sent in time: no byte of it arrived within the idle timeout, or all that did would have come within its time at the minimum rate,
counted from the end of the idle timeout. A caller that sends slowly but steadily does not reach that.
*/
export function isBodyLate({startedAt, receivedAt, receivedBytes}: BodyTimes, idleTimeoutMs: number, minBytesPerSecond: number, now: number): boolean {
	return now - receivedAt > idleTimeoutMs || now - startedAt > idleTimeoutMs + (receivedBytes / minBytesPerSecond * millisecondsPerSecond);
}
