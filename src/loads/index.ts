/** Load reports, cache events and demand: what decisions are made from. */
export {DemandMeter} from './demand.js';
