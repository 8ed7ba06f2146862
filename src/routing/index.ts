/** Where requests go: the port that serving calls and the policies behind it. */
export {Router, placementOutcome} from './types.js';
export type {
	DemandCounter, Placement, PlacementOutcome, Work,
} from './types.js';
export {LeastInFlightRouter, RoundRobinRouter} from './basic.js';
export {PrefixTable} from './affinity.js';
export {
	CheapestChoice, Choice, TwoChoices, WeightedChoice,
} from './choice.js';
export type {Scored} from './choice.js';
export {createPolicy} from './create.js';
export type {Policy, PolicyOptions} from './create.js';
export {HealthTable} from './health.js';
export {PolicyRouter} from './policy.js';
export {SpeedTable} from './speeds.js';
export type {PeakRates, Speeds} from './speeds.js';
export {FleetView} from './views.js';
export {HeardMembers} from './heard.js';
