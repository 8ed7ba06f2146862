/** Decides which upstream serves each request: the `Router` that serving calls, and its implementations. */
export {Router, placementOutcome} from './types.js';
export type {
	DemandCounter, Placement, PlacementOutcome, RoutingRequest,
} from './types.js';
export {LeastInFlightRouter, RoundRobinRouter} from './basic.js';
export {PrefixCacheIndex} from './prefixcache.js';
export {
	LowestCostSelection, SelectionStrategy, TwoChoicesSelection, WeightedSelection,
} from './selection.js';
export type {ScoredCandidate} from './selection.js';
export {createRouting} from './create.js';
export type {Routing, RoutingDependencies} from './create.js';
export {HealthTable} from './health.js';
export {LatencyRouter} from './latencyrouter.js';
export {SpeedTable} from './speeds.js';
export type {PeakRates, EngineSpeeds} from './speeds.js';
export {FleetView} from './fleetview.js';
export {LiveMembers} from './livemembers.js';
