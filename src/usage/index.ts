/** Counts of the requests of each customer by window, collected from all entries and reported to the platform. */
export {UsageCollector} from './collector.js';
export {WindowCounts} from './counts.js';
export type {CountRow} from './counts.js';
export {isUsageMessage} from './messages.js';
export {formatReport, parseReport, reportKey} from './report.js';
export type {UsageReport} from './report.js';
export {UsageReporter, windowOutcome} from './reporter.js';
export type {UsageReporterDependencies, UsageReporterOptions, WindowOutcome} from './reporter.js';
export {UsageSender} from './sender.js';
export type {UsageSenderDependencies} from './sender.js';
export {TrueTimeClock} from './truetime.js';
