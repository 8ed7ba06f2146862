import type {LoadReport} from '../../src/upstreams/index.js';
import type {Timer, TimerService} from '../../src/timers/index.js';

const measureIntervalMs = 100;

/** Load reports that are published late: the visible one is at least `lagMs` old once the engine has run that long. */
export class DelayedLoadReports {
	readonly #reports: LoadReport[] = [];
	readonly #maxReports: number;
	readonly #timer: Timer;
	#sequence = 0;

	constructor(timers: TimerService, private readonly measureLoad: () => Omit<LoadReport, 'sequence'>, lagMs: number) {
		this.#maxReports = Math.ceil(lagMs / measureIntervalMs) + 1;
		this.#addReport();
		this.#timer = timers.startInterval(measureIntervalMs, () => {
			this.#addReport();
		});
	}

	/** Returns the report that is visible to readers now. */
	getVisible(): LoadReport {
		return this.#reports[0]!;
	}

	/** Stops measuring. */
	stop(): void {
		this.#timer.cancel();
	}

	#addReport(): void {
		this.#sequence++;
		this.#reports.push({...this.measureLoad(), sequence: this.#sequence});
		if (this.#reports.length > this.#maxReports) {
			this.#reports.shift();
		}
	}
}
