/** Where requests go: the port that serving calls and the policies behind it. */
export {Router, placementOutcome} from './types.js';
export type {Placement, PlacementOutcome, Work} from './types.js';
export {LeastInFlightRouter} from './basic.js';
