/** Load reports, cache events and demand: what decisions are made from. */
export {LoadCollector} from './collector.js';
export type {CollectorParts} from './collector.js';
export {DemandMeter} from './demand.js';
export {DemandReporter, DemandView} from './demandfacts.js';
export type {DemandParts} from './demandfacts.js';
