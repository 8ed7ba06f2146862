import type {TimerService} from '../../src/timers/index.js';

/** Length of the window that calls are counted in; the limits are in calls per second. */
const windowMs = 1000;

/** Kind of a call to the platform's key-value service; a watch is a read that waits for a change. */
export type CallKind = 'read' | 'write' | 'watch';

/** Numbers of calls since the start, by kind, and of those that were refused. */
export type CallCounts = Record<CallKind | 'refused', number>;

/** Limits the rate of reads and of writes, and counts all calls. A watch counts as one read, however long it waits. */
export class CallLimits {
	readonly counts: CallCounts = {
		read: 0, write: 0, watch: 0, refused: 0,
	};

	#windowStart = 0;
	#reads = 0;
	#writes = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly readsPerSecond: number,
		private readonly writesPerSecond: number,
	) {}

	/** Counts a call and returns whether it is within the limits. */
	tryCall(kind: CallKind): boolean {
		this.counts[kind]++;
		const now = this.timers.getNow();
		if (now - this.#windowStart >= windowMs) {
			this.#windowStart = now;
			this.#reads = 0;
			this.#writes = 0;
		}

		const isAllowed = kind === 'write' ? this.#writes < this.writesPerSecond : this.#reads < this.readsPerSecond;
		if (!isAllowed) {
			this.counts.refused++;
		} else if (kind === 'write') {
			this.#writes++;
		} else {
			this.#reads++;
		}

		return isAllowed;
	}
}
