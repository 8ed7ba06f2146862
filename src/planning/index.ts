/** Plans which role each engine has: prefill, decode or both. */
export {RolePlanner} from './planner.js';
export {FixedRolePlanner} from './fixed.js';
export type {RoleChange} from './planner.js';
export {computeGoodput, computeCapacityRatio} from './capacity.js';
export type {EngineRates, TokenDemand} from './capacity.js';
export {FleetRolePlanner} from './fleet.js';
export type {FleetRolePlannerDependencies} from './fleet.js';
