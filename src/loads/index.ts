/** Collects and publishes what routing and planning decide from: load reports, cache events and demand. */
export {LoadCollector} from './collector.js';
export type {LoadCollectorDependencies} from './collector.js';
export {DemandMeter} from './demandmeter.js';
export {DemandReporter, DemandView} from './demandfacts.js';
export type {DemandDependencies} from './demandfacts.js';
