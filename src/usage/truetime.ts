import type {TimerService} from '../timers/index.js';

/** Change of the wall clock against the monotonic one between two looks that is an adjustment of its rate, in milliseconds. */
const maxAdjustmentMs = 50;
/** Longest suspension of a VM, in milliseconds: the wall clock is not followed over a larger step. */
const maxSuspensionMs = 60_000;
/** Difference from the time that the entries agree on from which this clock is corrected, in milliseconds. */
const minCorrectionMs = 100;
/** Time for which another entry's reading counts, in milliseconds: entries send one at least every 5 s. */
const readingLifetimeMs = 12_000;
/** Time after a step of the wall clock in which this clock may be off, in milliseconds: entries exchange readings once a second. */
const settleMs = 3000;
/** Number of entries, with this one, from which the median of their readings is taken for the true time. */
const minReadings = 3;
const maxReadings = 512;

/** Another entry's clock, as an offset from the monotonic clock of this process. */
type Reading = {readonly offsetMs: number; readonly readAt: number};

/**
Estimates the true time from clocks that jump, for a deployment of up to a few hundred entries that each exchange one message a second. It is anchored at the wall clock and
advanced by the monotonic one and by suspensions of the VM; steps backwards and large steps of the wall clock are ignored. A small step forward looks like a suspension and is
followed; when it was none, the other entries' readings correct it.
*/
export class TrueTimeClock {
	readonly #timers: TimerService;
	/** Own estimate less the monotonic clock, without corrections: other entries' medians are taken from such readings, so that a correction does not spread as if it were a clock of its own. */
	#ownOffsetMs: number;
	#wallOffsetMs: number;
	#correctionMs = 0;
	/** Monotonic time of the last step of the wall clock, in milliseconds. */
	#steppedAt = Number.NEGATIVE_INFINITY;
	/** Whether the wall clock has made a step that was ignored, but may have been a long suspension, and no median has come since. */
	#isDoubtful = false;
	readonly #readings = new Map<string, Reading>();

	constructor(timers: TimerService) {
		this.#timers = timers;
		this.#wallOffsetMs = timers.getWallTime() - timers.getNow();
		this.#ownOffsetMs = this.#wallOffsetMs;
	}

	/** Estimates the true time, in milliseconds since the Unix epoch. */
	getTimeMs(): number {
		return this.getOwnTimeMs() + this.#correctionMs;
	}

	/** Estimates it from the clocks of this VM alone. */
	getOwnTimeMs(): number {
		const now = this.#timers.getNow();
		const wallOffsetMs = this.#timers.getWallTime() - now;
		const stepMs = wallOffsetMs - this.#wallOffsetMs;
		this.#wallOffsetMs = wallOffsetMs;
		if (stepMs >= -maxAdjustmentMs && stepMs <= maxSuspensionMs) {
			this.#ownOffsetMs += stepMs;
		}

		if (Math.abs(stepMs) > maxAdjustmentMs) {
			// After a suspension they would be as old as it was long.
			this.#readings.clear();
			this.#steppedAt = now;
			this.#isDoubtful ||= stepMs > maxSuspensionMs;
		}

		return now + this.#ownOffsetMs;
	}

	/** Whether the other entries have had time to correct this clock after the last step of the wall clock, which was a suspension or a jump; after a large step, whether they have. */
	get isSettled(): boolean {
		this.getOwnTimeMs();
		return !this.#isDoubtful && this.#timers.getNow() - this.#steppedAt >= settleMs;
	}

	/** Records another entry's own estimate, which has just arrived. */
	onReading(vm: string, ownTimeMs: number): void {
		const now = this.#timers.getNow();
		if (this.#readings.size < maxReadings || this.#readings.has(vm)) {
			this.#readings.set(vm, {offsetMs: ownTimeMs - now, readAt: now});
		}
	}

	/** Computes the true time as the median of the entries' estimates; `undefined` while there are too few. */
	computeMedianMs(): number | undefined {
		const now = this.#timers.getNow();
		for (const [vm, {readAt}] of this.#readings) {
			if (now - readAt > readingLifetimeMs) {
				this.#readings.delete(vm);
			}
		}

		const offsets = [...this.#readings.values()].map(({offsetMs}) => offsetMs);
		offsets.push(this.getOwnTimeMs() - now);
		if (offsets.length < minReadings) {
			return undefined;
		}

		offsets.sort((left, right) => left - right);
		return now + offsets[Math.floor(offsets.length / 2)]!;
	}

	/** Corrects this clock to the time that the entries agree on. Returns by how much it was off, in milliseconds; 0 when it is left as it is. */
	applyMedian(timeMs: number): number {
		this.#isDoubtful = false;
		const differenceMs = timeMs - this.getTimeMs();
		if (Math.abs(differenceMs) < minCorrectionMs) {
			return 0;
		}

		this.#correctionMs += differenceMs;
		return differenceMs;
	}
}
