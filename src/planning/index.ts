/** The plan of engines' roles. */
export {RolePlanner} from './planner.js';
export {KeepRolesPlanner} from './keep.js';
export type {RoleChange} from './planner.js';
