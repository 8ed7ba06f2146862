/** The plan of engines' roles. */
export {RolePlanner} from './planner.js';
export {KeepRolesPlanner} from './keep.js';
export type {RoleChange} from './planner.js';
export {computeGoodput, computeServedFactor} from './capacity.js';
export type {EngineRates, TokenDemand} from './capacity.js';
export {FleetRolePlanner} from './fleet.js';
export type {PlannerParts} from './fleet.js';
