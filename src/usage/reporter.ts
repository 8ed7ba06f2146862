import {dutyOutcome} from '../duties/index.js';
import type {Duty, DutyPlatform, DutyStore} from '../duties/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {formatReport, parseReport, reportKey} from './report.js';
import type {UsageReport} from './report.js';
import type {TrueTimeClock} from './truetime.js';

/** What became of a window. */
export const windowOutcome = {
	sent: 'sent',
	/** Sent later than usual, but while it was due. */
	late: 'late',
	/** Not sent while it was due. */
	missed: 'missed',
	/** Not sent, as an earlier holder may have sent another report, which the store no longer has. */
	abandoned: 'abandoned',
} as const;

/** See {@link windowOutcome}. */
export type WindowOutcome = (typeof windowOutcome)[keyof typeof windowOutcome];

export type UsageReporterOptions = {
	/** Length of a window, in milliseconds. */
	readonly windowMs: number;
	/** Time after the end of a window until which its report is due, in milliseconds. */
	readonly lateMs: number;
};

export type UsageReporterDependencies = {
	readonly timers: TimerService;
	readonly clock: TrueTimeClock;
	readonly duty: Duty;
	readonly store: DutyStore;
	readonly platform: DutyPlatform;
	/** Lists the values of the keys of reports in the store. */
	readonly listReports: () => Promise<ReadonlyMap<string, string>>;
	/** Sums up the requests of a window over all entries, by customer. */
	readonly sumCounts: (window: number) => ReadonlyMap<string, number>;
	/** Whether requests have customers. */
	readonly isActive: () => boolean;
	readonly onWindow: (window: number, outcome: WindowOutcome, details: {readonly ageMs: number; readonly requests?: number; readonly customers?: number}) => void;
	readonly onFailure: (task: string, error: unknown) => void;
};

/** Interval at which the reporter looks for windows to report, in milliseconds. */
const checkIntervalMs = 250;
/**
Time from the end of a window to its report, in milliseconds: entries send their counts once a second, and their clocks differ. Not longer, so that the next holder can still
send what one that is killed at that time has written: it calls up to two leases later.
*/
const reportDelayMs = 3200;
/** Earliest time after the end of a window at which any holder reports it, in milliseconds; less than `reportDelayMs` by the difference of two clocks. */
const minReportDelayMs = 2200;
/** Time from the end of a window after which its report counts as late, in milliseconds. */
const usualReportMs = 8000;
/** How long before it is due a report is sent at the latest, in milliseconds: a call takes up to half a second. */
const dueMarginMs = 600;
/** Time from the begin of a term to the first report that is summed up in it, in milliseconds: entries send the new holder their counts. */
const gatherMs = 1500;
/** Pause before the same report is sent again, in milliseconds. */
const resendDelayMs = 1000;
/** Number of windows whose reports stay in the store after they were sent. */
const keptWindows = 3;

/**
Reports usage windows while this entry holds the duty: one write and one call for each window, of up to 4,096 customers. A report is written to the store before it is sent, where no other
can take its place; whoever holds the duty then sends what is written there, so that no two different reports of one window are sent.
*/
export class UsageReporter {
	readonly #options: UsageReporterOptions;
	readonly #dependencies: UsageReporterDependencies;
	/** Reports that the store has, by window. */
	readonly #written = new Map<number, UsageReport>();
	/** The windows up to this one are reported or given up; `undefined` until a term has begun. */
	#settledWindow: number | undefined;
	/** Number of the term whose reports were read from the store, and monotonic time of its begin, in milliseconds. */
	#term: {readonly number: number; readonly heldSince: number} | undefined;
	/** Monotonic time since which a report that the store lacks was not sent either, in milliseconds; `undefined` before the store was read. */
	#certainSince: number | undefined;
	#sendNotBefore = Number.NEGATIVE_INFINITY;
	#isBusy = false;
	#timer: Timer | undefined;

	constructor(options: UsageReporterOptions, dependencies: UsageReporterDependencies) {
		this.#options = options;
		this.#dependencies = dependencies;
	}

	/** Starts to report windows whenever this entry holds the duty. */
	start(): void {
		this.#timer ??= this.#dependencies.timers.startInterval(checkIntervalMs, () => {
			void this.#check();
		});
	}

	stop(): void {
		this.#timer?.cancel();
	}

	/** Handles that the complete state of the store was read for the first time, or that it came back from an older copy: reports may have been sent that it lacks. */
	onStoreReplaced(): void {
		this.#certainSince = this.#dependencies.timers.getNow();
		this.#written.clear();
		this.#term = undefined;
	}

	async #check(): Promise<void> {
		const {clock, duty, isActive, onFailure} = this.#dependencies;
		if (this.#isBusy || !duty.isHeld || !clock.isSettled || !isActive() || this.#certainSince === undefined) {
			return;
		}

		this.#isBusy = true;
		try {
			await this.#reportWindows();
		} catch (error) {
			onFailure('report usage', error);
		} finally {
			this.#isBusy = false;
		}
	}

	async #reportWindows(): Promise<void> {
		const {timers, clock, duty} = this.#dependencies;
		const {windowMs, lateMs} = this.#options;
		if (duty.number !== this.#term?.number) {
			await this.#loadReports();
		}

		if (!this.#term || timers.getNow() < this.#sendNotBefore) {
			return;
		}

		const firstDue = Math.floor((clock.getTimeMs() - lateMs + dueMarginMs) / windowMs);
		this.#settledWindow ??= firstDue - 1;
		while (this.#settledWindow < firstDue - 1) {
			// A clock that was off may have a long way to the present, which is not a number of windows that were missed.
			this.#settledWindow = Math.max(this.#settledWindow, firstDue - 1 - Math.ceil(lateMs / windowMs) - keptWindows);
			this.#settle(this.#settledWindow + 1, windowOutcome.missed);
		}

		while (this.#computeAgeMs(this.#settledWindow + 1) >= reportDelayMs) {
			if (!await this.#reportWindow(this.#settledWindow + 1)) {
				return;
			}
		}
	}

	/** Reads what earlier holders have written. */
	async #loadReports(): Promise<void> {
		const {timers, duty, listReports} = this.#dependencies;
		const {number} = duty;
		const certainSince = this.#certainSince;
		const values = await listReports();
		if (number === undefined || duty.number !== number || certainSince !== this.#certainSince) {
			return;
		}

		this.#written.clear();
		for (const [key, value] of values) {
			const report = parseReport(key, value);
			if (report) {
				this.#written.set(report.window, report);
				this.#settledWindow = Math.max(this.#settledWindow ?? report.settledWindow, report.settledWindow);
			}
		}

		this.#term = {number, heldSince: timers.getNow()};
	}

	/** Writes and sends the report of a window. Returns whether it needs nothing more. */
	async #reportWindow(window: number): Promise<boolean> {
		const {timers, duty, platform} = this.#dependencies;
		const written = this.#written.get(window) ?? await this.#writeReport(window);
		if (written === undefined || written === windowOutcome.abandoned) {
			if (written) {
				this.#settle(window, written);
			}

			return written !== undefined;
		}

		const term = this.#term;
		const outcome = await duty.tryCall(async fence => platform.reportUsage(window, written.counts, fence));
		if (outcome !== dutyOutcome.accepted) {
			this.#sendNotBefore = timers.getNow() + (outcome === undefined ? 0 : resendDelayMs);
			return false;
		}

		this.#settle(window, this.#computeAgeMs(window) > usualReportMs ? windowOutcome.late : windowOutcome.sent, written);
		// Another term may have begun meanwhile.
		return term === this.#term;
	}

	/** Writes the report of a window unless the store has one. Returns the one that it has then; `undefined` when that is not known. */
	async #writeReport(window: number): Promise<UsageReport | typeof windowOutcome.abandoned | undefined> {
		const {store, timers, sumCounts} = this.#dependencies;
		const key = reportKey.formatKey(window);
		if (!this.#isCertain(window)) {
			const {value} = await store.read(key);
			const found = value === undefined ? undefined : parseReport(key, value);
			return found ?? windowOutcome.abandoned;
		}

		if (!this.#term || timers.getNow() < this.#term.heldSince + gatherMs) {
			return undefined;
		}

		// After a write without an answer the counts may have changed. Only what the store has is sent, so a late write does no harm.
		const draft = {window, counts: sumCounts(window), settledWindow: window - 1};
		const oldWindows = [...this.#written.keys()].filter(old => old < window - keptWindows);
		const certainSince = this.#certainSince;
		const revision = await store.tryTransact(new Map([[key, 0]]), [{key, value: formatReport(draft)}], oldWindows.map(old => reportKey.formatKey(old)));
		const found = revision === undefined ? await store.read(key) : undefined;
		if (certainSince !== this.#certainSince) {
			return undefined;
		}

		const report = found ? parseReport(key, found.value ?? '') : draft;
		if (report) {
			this.#written.set(window, report);
		} else if (found?.value !== undefined) {
			return windowOutcome.abandoned;
		}

		for (const old of oldWindows) {
			this.#written.delete(old);
		}

		return report;
	}

	/** Whether no report of a window that the store lacks was sent: the store has been known since before any holder reported it. */
	#isCertain(window: number): boolean {
		const knownMs = this.#dependencies.timers.getNow() - (this.#certainSince ?? Number.POSITIVE_INFINITY);
		return this.#computeAgeMs(window) - minReportDelayMs < knownMs;
	}

	/** Computes the time since the end of a window, in milliseconds. */
	#computeAgeMs(window: number): number {
		return this.#dependencies.clock.getTimeMs() - ((window + 1) * this.#options.windowMs);
	}

	#settle(window: number, outcome: WindowOutcome, report?: UsageReport): void {
		this.#settledWindow = window;
		this.#dependencies.onWindow(window, outcome, {
			ageMs: Math.round(this.#computeAgeMs(window)),
			...(report && {customers: report.counts.size, requests: [...report.counts.values()].reduce((sum, count) => sum + count, 0)}),
		});
	}
}
