import type {LoadReport} from '../../src/upstreams/index.js';
import type {Timer, TimerService} from '../../src/timers/index.js';

const periodMs = 100;

/** Load reports that are told late: the one read is at least `lagMs` old once the engine has run that long. */
export class LateLoads {
	readonly #reports: LoadReport[] = [];
	readonly #kept: number;
	readonly #timer: Timer;
	#sequence = 0;

	constructor(timers: TimerService, private readonly measureLoad: () => Omit<LoadReport, 'sequence'>, lagMs: number) {
		this.#kept = Math.ceil(lagMs / periodMs) + 1;
		this.#add();
		this.#timer = timers.startInterval(periodMs, () => {
			this.#add();
		});
	}

	/** Returns the late report. */
	get(): LoadReport {
		return this.#reports[0]!;
	}

	/** Ends the measuring. */
	stop(): void {
		this.#timer.cancel();
	}

	#add(): void {
		this.#sequence++;
		this.#reports.push({...this.measureLoad(), sequence: this.#sequence});
		if (this.#reports.length > this.#kept) {
			this.#reports.shift();
		}
	}
}
