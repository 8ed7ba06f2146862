import type {TimerService} from '../../src/timers/index.js';

const windowMs = 1000;

/** Kind of a call of the platform's service; a watch is a read that waits. */
export type CallKind = 'read' | 'write' | 'watch';

/** Counts of calls since the start. */
export type CallCounts = Record<CallKind | 'refused', number>;

/** Bounds the calls a second and counts all of them; a waiting watch counts as one. */
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

	/** Counts a call and says whether it is within the limits. */
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
