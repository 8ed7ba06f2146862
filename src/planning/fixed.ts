import {RolePlanner} from './planner.js';
import type {RoleChange} from './planner.js';

/** Keeps every engine in the role that it has. */
export class FixedRolePlanner extends RolePlanner {
	planChange(): RoleChange | undefined {
		return undefined;
	}
}
