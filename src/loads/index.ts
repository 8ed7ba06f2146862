/** Load reports, cache events and demand: what decisions are made from. */
export {LoadCollector} from './collector.js';
export type {LoadCollectorDependencies} from './collector.js';
export {DemandMeter} from './demandmeter.js';
export {DemandReporter, DemandView} from './demandfacts.js';
export type {DemandDependencies} from './demandfacts.js';
