/** Counters, gauges and histograms of a process. */
export {Metrics} from './metrics.js';
export type {CounterName} from './metrics.js';
