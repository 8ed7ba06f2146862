import {RolePlanner} from './planner.js';
import type {RoleChange} from './planner.js';

/** Plans no change: every engine keeps its role. */
export class FixedRolePlanner extends RolePlanner {
	planChange(): RoleChange | undefined {
		return undefined;
	}
}
